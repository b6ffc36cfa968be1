// Package standin has the parties around a node in the lab, over loopback sockets: servers (Server, Application),
// discovery (Discovery), the clients' load balancer (ClientBalancer), clients that know the servers themselves
// (DirectClient), servers as clients of their own node (InnerClient), clients that misbehave (MisbehavingClients), a
// network that fails (Proxy), nodes as processes (Node), and a node that breaks a rule on purpose (BypassingNode).
//
// They follow the protocol's page, with a codec of their own (package wire), and write what they see into the judge's
// ledger. They do not judge it, and do not plan load: packages judge, plan and load do.
//
// Each of them owns its listener, its connections and their goroutines, which end once its Stop, Close or End has
// closed the connections.
package standin
