// Package peers plays peers that strain a node without breaking the protocol's letter: clients that write or read
// slowly, stop halfway, send heads of very many fields, pipeline and leave, or send at full speed, and a server that
// answers late, slowly or early, or reads slowly or not at all.
//
// A client says in its request's query how the server has to behave (Behavior), so a play needs no other channel
// between the two. The package judges nothing: clients and the server report what they saw.
package peers
