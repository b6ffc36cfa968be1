package run

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/standin"
)

// Span is a fault as it was played.
type Span struct {
	Name string        `json:"Name"`
	From time.Duration `json:"From"` // from the load's start
	To   time.Duration `json:"To"`
}

// faults makes all faults at their times and undoes each. It returns when all are over or the context ends.
func (f *Fleet) faults(ctx context.Context, start time.Time) []Span {
	var all sync.WaitGroup
	spans := make([]Span, len(f.e.Fault))
	for i, x := range f.e.Fault {
		on, err := experiment.ParseFaultTarget(x.Target)
		if err != nil {
			continue // checked with the file
		}
		spans[i] = Span{Name: fmt.Sprint(x.Kind, " ", x.Target), From: time.Duration(x.At), To: time.Duration(x.At + x.For)}
		all.Go(func() {
			if !sleep(ctx, time.Until(start.Add(time.Duration(x.At)))) {
				return
			}
			f.notes("%v: %s %s", time.Duration(x.At), x.Kind, x.Target)
			f.fault(ctx, x, on)
		})
	}
	all.Wait()
	return spans
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// fault is the life of one fault.
func (f *Fleet) fault(ctx context.Context, x experiment.Fault, on experiment.FaultTarget) {
	lasts := time.Duration(x.For)
	switch on.Kind {
	case "discovery":
		f.discovery(ctx, x, f.disc[on.Tier])
		return
	case "node":
		var all sync.WaitGroup
		for _, i := range f.nodesOn(on) {
			all.Go(func() {
				switch {
				case x.UsesShim():
					f.shimmed(ctx, x, i)
				case x.Kind == "rude":
					f.rudely(ctx, x, i)
				case x.Kind == "reconfigure":
					f.reconfigure(ctx, x, i)
				case x.Kind == "ban":
					f.ban(ctx, x, i)
				case x.Kind == "replace":
					f.replace(ctx, i)
				case x.Kind == "pause":
					f.pause(ctx, x, f.nodes[i])
				default:
					f.node(ctx, x, f.nodes[i], f.Front, f.dests[i].ID)
				}
			})
		}
		all.Wait()
		return
	}
	places := f.on(on)
	if x.UsesProxy() {
		f.network(ctx, x, places)
		return
	}
	each := func(do func(*place)) {
		var all sync.WaitGroup
		for _, p := range places {
			all.Go(func() { do(p) })
		}
		all.Wait()
	}
	switch x.Kind {
	case "freeze":
		each(func(p *place) { p.now().Freeze(true) })
		sleep(ctx, lasts)
		each(func(p *place) { p.now().Freeze(false) })
	case "slow":
		each(func(p *place) { p.now().Slow(x.Factor) })
		sleep(ctx, lasts)
		each(func(p *place) { p.now().Slow(1) })
	case "refuse":
		each(func(p *place) {
			s := p.now()
			s.Refuse()
			sleep(ctx, lasts)
			if p.now() != s {
				return // restarted meanwhile: the new process has the door
			}
			if err := s.Listen(""); err != nil {
				f.crash(fmt.Errorf("a server's door: %w", err))
			}
		})
	case "drain":
		each(func(p *place) {
			f.phase(p, "draining")
			if !x.AnswersDuringDrain {
				p.now().Drain(time.Now().Add(time.Second))
			}
		})
		sleep(ctx, lasts)
		each(func(p *place) {
			p.now().Drain(time.Time{})
			f.phase(p, "ready")
		})
	case "restart":
		each(func(p *place) {
			if f.down(p) {
				sleep(ctx, lasts)
				f.up(ctx, p, x.NewID)
			}
		})
	case "roll":
		// Each in turn: told to drain, given its time to finish, replaced by a cold one.
		step := lasts / time.Duration(len(places))
		for _, p := range places {
			begun := time.Now()
			f.phase(p, "draining")
			p.now().Drain(begun.Add(time.Second))
			if !sleep(ctx, max(step*6/10, 500*time.Millisecond)) {
				return
			}
			if f.down(p) {
				if !sleep(ctx, step/10) {
					return
				}
				f.up(ctx, p, x.NewID)
			}
			if !sleep(ctx, time.Until(begun.Add(step))) {
				return
			}
		}
	default:
		kind := standin.Faults[string(x.Kind)]
		each(func(p *place) { p.now().Fault(kind, x.Share) })
		sleep(ctx, lasts)
		each(func(p *place) { p.now().Fault(standin.NoFault, 1) })
	}
}

func (f *Fleet) discovery(ctx context.Context, x experiment.Fault, d *standin.Discovery) {
	switch x.Kind {
	case "gone":
		d.SetDown(true)
		sleep(ctx, time.Duration(x.For))
		d.SetDown(false)
	case "silence":
		d.MuteWatches()
	case "reset-watches":
		d.ResetWatches()
	case "busy":
		d.SetWorkQueue(x.By.Std(), f.e.Fleet.Discovery.MaxCallDelay.Std())
		sleep(ctx, time.Duration(x.For))
		d.SetWorkQueue(f.e.Fleet.Discovery.CallWork.Std(), f.e.Fleet.Discovery.MaxCallDelay.Std())
	case "late":
		d.SetDelay(time.Duration(x.By))
		sleep(ctx, time.Duration(x.For))
		d.SetDelay(0)
	case "replay":
		for end := time.Now().Add(time.Duration(x.For)); ctx.Err() == nil; {
			d.Replay()
			if !sleep(ctx, 250*time.Millisecond) || time.Now().After(end) {
				return
			}
		}
	}
}

// node ends a node and starts it again, or has it read its configuration again.
func (f *Fleet) node(ctx context.Context, x experiment.Fault, n *standin.Node, front *standin.ClientBalancer, id int32) {
	switch x.Kind {
	case "reload":
		if !n.Reloads() {
			return
		}
		if err := n.Write(); err != nil {
			f.crash(err)
		}
		n.Signal(syscall.SIGHUP)
		return
	case "kill":
		front.Killed(id)
		n.Signal(syscall.SIGKILL)
	case "stop":
		front.Leaving(id)
		n.End(5 * time.Second)
	}
	sleep(ctx, time.Duration(x.For))
	if ctx.Err() != nil {
		return
	}
	if f.restart(ctx, n) {
		front.Back(id)
	}
}

// restart starts a node that was ended, and reports whether it became ready. A start that the end of the run cuts short
// is no crash.
func (f *Fleet) restart(ctx context.Context, n *standin.Node) bool {
	n.SetKnownServers(f.Discovery().LastKnown())
	err := n.Start(ctx)
	if err != nil && ctx.Err() == nil {
		f.crash(err)
	}
	return err == nil
}
