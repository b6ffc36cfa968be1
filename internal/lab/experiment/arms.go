package experiment

import "strings"

// The arms with nodes. Those with another name than the first are for fleets with services.
const (
	ArmNodes         = "robincart"
	ArmNodesUnshared = "robincart-unshared" // services have no quotas
	ArmNodesAlone    = "robincart-alone"    // only the first service's requests are sent
)

// PerNode ends the names of arms with as many direct clients as there are nodes, each with a view of its own.
const PerNode = "-per-node"

// arms lists the ways that a load can take: through nodes, or by direct clients that balance by themselves.
var arms = []string{
	ArmNodes,
	ArmNodesUnshared,
	ArmNodesAlone,
	"random",
	"round-robin",
	"least-outstanding",
	"two-choices",
	"round-robin" + PerNode,
	"least-outstanding" + PerNode,
	"two-choices" + PerNode,
}

// UsesNodes returns whether an arm's load goes through nodes.
func UsesNodes(arm string) bool { return strings.HasPrefix(arm, ArmNodes) }
