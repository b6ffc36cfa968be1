package experiment

import (
	"slices"

	"robincart/internal/lab/shim"
)

// FaultKind is what a fault does.
type FaultKind string

// Faults of servers.
const (
	FaultFreeze      FaultKind = "freeze"
	FaultSlow        FaultKind = "slow"
	FaultSilent      FaultKind = "silent"
	FaultFail        FaultKind = "fail"
	FaultResetBefore FaultKind = "reset-before"
	FaultResetAfter  FaultKind = "reset-after"
	FaultDieMid      FaultKind = "die-mid"
	FaultSpoil       FaultKind = "spoil"
	FaultRefuse      FaultKind = "refuse"
	FaultDrain       FaultKind = "drain"
	FaultRestart     FaultKind = "restart"
	FaultRoll        FaultKind = "roll" // a rolling restart
)

// Faults of the network before servers, made by proxies.
const (
	FaultMute    FaultKind = "mute"    // connections stay open and carry nothing
	FaultCut     FaultKind = "cut"     // connections are reset
	FaultTrickle FaultKind = "trickle" // a few bytes at a time
)

// Faults of nodes.
const (
	FaultKill        FaultKind = "kill"
	FaultStop        FaultKind = "stop"
	FaultSignals     FaultKind = "signals" // a stop with SIGHUP before and after it, and a second SIGTERM
	FaultReload      FaultKind = "reload"
	FaultReconfigure FaultKind = "reconfigure"
	FaultReplace     FaultKind = "replace" // by a successor that takes the listener over
	FaultPause       FaultKind = "pause"
	FaultBan         FaultKind = "ban"  // operators ban servers there
	FaultMisbehaving FaultKind = "rude" // misbehaving clients
)

// Faults of a node's system calls, made by a shim around its process.
const (
	FaultErrno FaultKind = "errno"
	FaultShort FaultKind = "short"
	FaultStall FaultKind = "stall"
	FaultClock FaultKind = "clock"
)

// Faults of discovery.
const (
	FaultGone         FaultKind = "gone"
	FaultLate         FaultKind = "late"
	FaultReplay       FaultKind = "replay"
	FaultSilence      FaultKind = "silence" // open watches carry nothing more
	FaultResetWatches FaultKind = "reset-watches"
	FaultBusy         FaultKind = "busy"
	FaultSpoilLists   FaultKind = "spoil-lists" // messages of watches are cut, or stand still
)

// faultTargets says what a fault of each kind is made at.
var faultTargets = map[FaultKind]TargetKind{
	FaultFreeze:       TargetServer,
	FaultSlow:         TargetServer,
	FaultSilent:       TargetServer,
	FaultFail:         TargetServer,
	FaultResetBefore:  TargetServer,
	FaultResetAfter:   TargetServer,
	FaultDieMid:       TargetServer,
	FaultSpoil:        TargetServer,
	FaultRefuse:       TargetServer,
	FaultDrain:        TargetServer,
	FaultRestart:      TargetServer,
	FaultRoll:         TargetServer,
	FaultMute:         TargetServer,
	FaultCut:          TargetServer,
	FaultTrickle:      TargetServer,
	FaultKill:         TargetNode,
	FaultStop:         TargetNode,
	FaultSignals:      TargetNode,
	FaultReload:       TargetNode,
	FaultReconfigure:  TargetNode,
	FaultReplace:      TargetNode,
	FaultPause:        TargetNode,
	FaultBan:          TargetNode,
	FaultMisbehaving:  TargetNode,
	FaultErrno:        TargetNode,
	FaultShort:        TargetNode,
	FaultStall:        TargetNode,
	FaultClock:        TargetNode,
	FaultGone:         TargetDiscovery,
	FaultLate:         TargetDiscovery,
	FaultReplay:       TargetDiscovery,
	FaultSilence:      TargetDiscovery,
	FaultResetWatches: TargetDiscovery,
	FaultBusy:         TargetDiscovery,
	FaultSpoilLists:   TargetDiscovery,
}

// The folders of a node in which calls on files may be made to fail.
const (
	StateFolder         = "state" // survives the node's processes
	ConfigurationFolder = "configuration"
)

// Fault is one thing that goes wrong for a while.
type Fault struct {
	At                 Duration  `toml:"at"`
	For                Duration  `toml:"for"`
	Kind               FaultKind `toml:"kind"`
	Target             string    `toml:"on"`
	Share              float64   `toml:"share"`  // of the requests, calls or servers that it concerns
	Factor             float64   `toml:"factor"` // of slow
	By                 Duration  `toml:"by"`
	NewID              bool      `toml:"new_id"`  // of restart and roll
	AnswersDuringDrain bool      `toml:"answers"` // of drain: the server answers requests that reach it nevertheless
	KeepDuration       bool      `toml:"keep"`    // lasts as long in the short form

	// Of errno, short and stall.
	Call   string   `toml:"call"`   // the system call
	Errors []string `toml:"errors"` // that it returns
	Folder string   `toml:"folder"` // of calls on files: StateFolder or ConfigurationFolder
}

// UsesShim returns whether the fault is made by a node's shim.
func (f Fault) UsesShim() bool {
	return slices.Contains([]FaultKind{FaultErrno, FaultShort, FaultStall, FaultClock}, f.Kind)
}

// UsesProxy returns whether the fault is made by a proxy before a server.
func (f Fault) UsesProxy() bool {
	return slices.Contains([]FaultKind{FaultMute, FaultCut, FaultTrickle}, f.Kind)
}

// Injection is what a node's shim does for the fault, but for steps of the clock. folder is the path of the fault's
// folder, if it has one.
func (f Fault) Injection(folder string) shim.Injection {
	injection := shim.Injection{
		Call:   shim.NearestCall(f.Call),
		Errors: f.Errors,
		Short:  f.Kind == FaultShort,
		Share:  f.Share,
	}
	if f.Folder != "" {
		injection.Folder = folder
	}
	if f.Kind == FaultStall {
		injection.Delay = f.By.Std()
	}
	return injection
}

// ReplacesNodes returns whether a fault replaces nodes by successors, which then share their listener.
func (e *Experiment) ReplacesNodes() bool {
	return slices.ContainsFunc(e.Faults, func(f Fault) bool { return f.Kind == FaultReplace })
}

// NeedsAdminAddress returns whether nodes need an operators' address and a state folder: for successors, and for
// operators' commands.
func (e *Experiment) NeedsAdminAddress() bool {
	return e.ReplacesNodes() || slices.ContainsFunc(e.Faults, func(f Fault) bool {
		return f.Kind == FaultBan || f.Folder == StateFolder
	})
}
