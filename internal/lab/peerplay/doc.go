// Package peerplay plays nodes of little memory before slow, hostile and departing peers, drawn from a seed, and judges
// what the peers saw. Several kinds of clients come at the same time as signals, kills, upgrades and reloads.
//
// The peers themselves are those of package peers. A play is a node, four servers and some crowds. Judge judges its
// records, and knows nothing of how they were made.
package peerplay
