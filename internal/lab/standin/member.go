package standin

import "robincart/internal/lab/judge"

// Member is one server of discovery's list, as nodes receive it.
type Member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Flavor  string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	UpSince int64   `json:"up_since_ms"`

	Index int32 `json:"-"` // in the ledger
}

// The phases of a member.
const (
	phaseReady    = "ready"
	phaseDraining = "draining"
	phaseGone     = "gone" // in a delta only: a snapshot does not list it
)

// ledgerStates are the ledger's states by a member's phase.
var ledgerStates = map[string]judge.State{
	phaseReady:    judge.Ready,
	phaseDraining: judge.Draining,
	phaseGone:     judge.Gone,
}

// listMessage is a snapshot of the list, or a delta with the members that have changed. Its fields are in the order in
// which encoding/json writes a map's keys.
type listMessage struct {
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
	Revision int64    `json:"revision"`
}
