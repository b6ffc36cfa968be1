// Package peertests has the tests of a node, as a process of its own, before slow, hostile and departed peers. They are
// apart from the lab's other tests because they take minutes, and because each wants the time of a package of its own.
package peertests
