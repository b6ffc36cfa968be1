package experiment

import (
	"slices"
	"time"
)

// Limits of what a file may ask for of a fault.
const (
	minFactor = 0.01
	maxFactor = 1000
	maxPause  = time.Second
)

// checkFault checks a fault.
func (e *Experiment) checkFault(found *mistakes, key string, f Fault) {
	_, known := faultTargets[f.Kind]
	found.addIf(!known, "%s.kind: %q is not known", key, f.Kind)
	found.addIf(f.At < 0 || f.For < 0 || f.At > e.Duration, "%s: at and for lie inside the run", key)
	found.addIf(outside(f.Share, 0, 1) || outside(f.Factor, minFactor, maxFactor),
		"%s: share in 0 to 1, factor in 0.01 to 1000", key)
	if f.UsesShim() {
		f.checkShim(found, key)
	} else {
		namesCall := f.Call != "" || len(f.Errors) > 0 || f.Folder != ""
		found.addIf(namesCall, "%s: only errno, short and stall name a call", key)
	}
	e.checkFaultSettings(found, key, f)
	if known {
		e.checkFaultTarget(found, key, f)
	}
}

// checkShim checks a fault that is made by a shim.
func (f Fault) checkShim(found *mistakes, key string) {
	wholeSeconds := f.By != 0 && f.By.Std()%time.Second == 0
	found.addIf(f.Kind == FaultClock && !wholeSeconds, "%s.by: by how many whole seconds is the clock stepped?", key)
	found.addIf(f.Kind == FaultErrno && len(f.Errors) == 0, "%s.errors: which?", key)
	found.addIf(!slices.Contains([]string{"", StateFolder, ConfigurationFolder}, f.Folder),
		"%s.folder: %q is neither %q nor %q", key, f.Folder, StateFolder, ConfigurationFolder)
	if f.Kind == FaultClock {
		return
	}
	err := f.Injection("/").Check()
	found.addIf(err != nil, "%s: %w", key, err)
}

// checkFaultSettings checks the settings that faults of single kinds have.
func (e *Experiment) checkFaultSettings(found *mistakes, key string, f Fault) {
	found.addIf(f.Kind == FaultTrickle && f.By <= 0, "%s.by: how long between two pieces?", key)
	found.addIf(f.Kind != FaultDrain && f.AnswersDuringDrain, "%s.answers: only a drain has it", key)
	found.addIf(f.Kind == FaultPause && slices.ContainsFunc(e.Faults, Fault.UsesShim),
		"%s: a process under a shim can't be paused: leave errno, short, stall and clock out", key)
	found.addIf(f.Kind == FaultPause && (f.By <= 0 || f.By.Std() > maxPause),
		"%s.by: for how long is the process held up each time? Up to a second", key)
	found.addIf(f.Kind == FaultLate && f.By <= 0, "%s.by: how late?", key)
	found.addIf(f.Kind == FaultSpoilLists && f.Share <= 0, "%s.share: what share of the messages?", key)
	found.addIf(f.Kind == FaultBusy && f.By <= 0, "%s.by: how long for a call?", key)
}

// checkFaultTarget checks that a fault's target is of the right kind and in the fleet.
func (e *Experiment) checkFaultTarget(found *mistakes, key string, f Fault) {
	target, err := ParseFaultTarget(f.Target)
	if err != nil {
		found.addIf(true, "%s.on: %w", key, err)
		return
	}
	if want := faultTargets[f.Kind]; target.Kind != want {
		found.addIf(true, "%s.on: %s goes on a %s, not on %q", key, f.Kind, want, f.Target)
		return
	}
	found.addIf(!e.hasTarget(target), "%s.on: %q is not in the fleet", key, f.Target)
}
