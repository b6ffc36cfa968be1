// Package chaos plays a small fleet of real programs under load and faults, and checks that nothing was lost: the
// nodes' record of drains (Record), drains by a cluster manager through the controller (Controller), and the pairs of
// protocols on either side of a node (Pairs). View measures a controller's time to a complete view, and checks nothing.
//
// Each has a Play that owns what it starts: processes, listeners and a folder of its own, all of which are gone when it
// returns. An error of Play is what kept it from being played; what was found broken is in its field Broken.
package chaos
