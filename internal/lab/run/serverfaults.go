package run

import (
	"context"
	"fmt"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/standin"
)

const (
	// drainTime is how long a draining server finishes its work before it rejects requests.
	drainTime = time.Second
	// minRollingDrain is the shortest drain of a rolling restart.
	minRollingDrain = 500 * time.Millisecond
	// rollingDrainShare and rollingDownShare are the parts of a server's step in a rolling restart, in tenths.
	rollingDrainShare = 6
	rollingDownShare  = 1
)

// playServerFault makes a fault of servers.
func (f *fleet) playServerFault(ctx context.Context, fault experiment.Fault, servers []*serverSlot) {
	lasts := fault.For.Std()
	switch fault.Kind {
	case experiment.FaultFreeze:
		applyFor(ctx, lasts, servers,
			func(s *serverSlot) { s.current().Freeze(true) },
			func(s *serverSlot) { s.current().Freeze(false) })
	case experiment.FaultSlow:
		applyFor(ctx, lasts, servers,
			func(s *serverSlot) { s.current().Slow(fault.Factor) },
			func(s *serverSlot) { s.current().Slow(1) })
	case experiment.FaultDrain:
		applyFor(ctx, lasts, servers,
			func(s *serverSlot) { f.drain(s, !fault.AnswersDuringDrain) },
			func(s *serverSlot) { f.endDrain(s) })
	case experiment.FaultRefuse:
		concurrently(servers, func(s *serverSlot) { f.refuse(ctx, s, lasts) })
	case experiment.FaultRestart:
		concurrently(servers, func(s *serverSlot) {
			if f.stopServer(s) {
				sleep(ctx, lasts)
				f.startServer(ctx, s, fault.NewID)
			}
		})
	case experiment.FaultRoll:
		f.rollingRestart(ctx, fault, servers)
	default:
		responseFault := standin.Faults[string(fault.Kind)]
		applyFor(ctx, lasts, servers,
			func(s *serverSlot) { s.current().Fault(responseFault, fault.Share) },
			func(s *serverSlot) { s.current().Fault(standin.NoFault, 1) })
	}
}

// applyFor applies a fault to servers and reverts it after a time.
func applyFor(ctx context.Context, lasts time.Duration, servers []*serverSlot, apply, revert func(*serverSlot)) {
	concurrently(servers, apply)
	sleep(ctx, lasts)
	concurrently(servers, revert)
}

// drain publishes that a server drains. If it rejects, it does so after the time that it has to finish.
func (f *fleet) drain(s *serverSlot, rejects bool) {
	f.publishPhase(s, phaseDraining)
	if rejects {
		s.current().Drain(time.Now().Add(drainTime))
	}
}

// endDrain takes a drain back.
func (f *fleet) endDrain(s *serverSlot) {
	s.current().Drain(time.Time{})
	f.publishPhase(s, phaseReady)
}

// refuse has a server refuse connections for a while.
func (f *fleet) refuse(ctx context.Context, s *serverSlot, lasts time.Duration) {
	server := s.current()
	server.Refuse()
	sleep(ctx, lasts)
	if s.current() != server {
		return // restarted meanwhile: the new process has the listener
	}
	if err := server.Listen(""); err != nil {
		f.crash(fmt.Errorf("a server's listener: %w", err))
	}
}

// rollingRestart drains, stops and replaces one server after the other, within the fault's duration.
func (f *fleet) rollingRestart(ctx context.Context, fault experiment.Fault, servers []*serverSlot) {
	step := fault.For.Std() / time.Duration(len(servers))
	for _, s := range servers {
		begun := time.Now()
		f.drain(s, true)
		if !sleep(ctx, max(step*rollingDrainShare/10, minRollingDrain)) {
			return
		}
		if f.stopServer(s) {
			if !sleep(ctx, step*rollingDownShare/10) {
				return
			}
			f.startServer(ctx, s, fault.NewID)
		}
		if !sleep(ctx, time.Until(begun.Add(step))) {
			return
		}
	}
}
