package fleet

import (
	"context"
	"fmt"
	"time"
)

// do carries one step out, and measures it.
func (r *run) do(ctx context.Context, s *Step) (o Outcome, err error) {
	o.Name = s.Name
	before, begun := r.sample(false), time.Now()
	r.o.Notes("%d nodes: %s", r.nodes, s.Name)
	switch s.Do {
	case "rest", "wait":
		r.wait(ctx, s.For.Std())
	case "settings":
		r.paced(ctx, s, func(int) { r.setting() })
	case "replace":
		r.replace(ctx, s)
	case "start":
		scope, _ := ParseScope(s.Place)
		machines := r.machines(scope)
		r.paced(ctx, s, func(i int) { r.serverBegins(machines[i*7%len(machines)]) })
	case "drain":
		o.Note, err = r.drain(ctx, s)
	case "fail":
		o.Note, err = r.fail(ctx, s)
	case "back":
		o.Note, err = r.back(ctx, s)
	case "cut":
		from, _ := ParseScope(s.Place)
		to, _ := ParseScope(s.To)
		err = r.setCut(s.Name, &Cut{From: from, To: to, OneWay: s.OneWay})
		r.wait(ctx, s.For.Std())
	case "join":
		clear(r.cuts)
		err = r.setCut("", nil)
		r.wait(ctx, s.For.Std())
	case "kill":
		for i, c := range r.controllers {
			if s.What == "controllers" || s.What == c.name {
				r.controllers[i].kill()
			}
		}
		if s.What == "store" {
			r.store.kill()
		}
		r.wait(ctx, s.For.Std())
	case "begin":
		for i, c := range r.controllers {
			if (s.What == "controllers" || s.What == c.name) && !c.runs() {
				if err = c.start(false); err != nil {
					return o, err
				}
				defer func() {}()
				if e := r.controllerReady(ctx, i); e != nil {
					err = e
				}
			}
		}
		if s.What == "store" && !r.store.runs() {
			err = r.startStore()
		}
		r.wait(ctx, s.For.Std())
	case "stall":
		if err = r.store.call("Store.Stall", true, &None{}); err == nil {
			r.wait(ctx, s.For.Std())
			err = r.store.call("Store.Stall", false, &None{})
		}
	case "stop":
		r.store.kill()
		r.wait(ctx, s.For.Std())
		err = r.startStore()
	}
	settle := r.f.Settle.Std()
	if s.Settle > 0 {
		settle = s.Settle.Std()
	}
	if s.Do != "rest" {
		r.settle(ctx, settle)
	}
	after := r.sample(false)
	o.Took = time.Since(begun)
	o.Roles, o.Commits = r.roles(before, after), after.commits-before.commits
	if s.Do == "rest" { // the collection is no part of what was measured
		if u, e := r.use(true); e == nil {
			o.Roles[0].Heap = u.Heap / int64(max(1, u.Nodes))
		}
	}
	o.Disagree, o.Waiting, o.Behind = r.disagree(), after.use.Waiting, after.use.Behind
	return o, err
}

func (r *run) wait(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); ctx.Err() == nil; {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		pause(ctx, min(left, time.Second))
	}
}

// paced does something so many times, evenly over a time.
func (r *run) paced(ctx context.Context, s *Step, f func(i int)) {
	begun := time.Now()
	for i := range s.Count {
		pause(ctx, time.Until(begun.Add(s.Over.Std()*time.Duration(i)/time.Duration(s.Count))))
		if ctx.Err() != nil {
			return
		}
		f(i)
	}
}

// setting changes a service's weight, by an object of the API: the controller that leads writes it to the record, and nodes
// follow that.
func (r *run) setting() {
	r.weights++
	i := r.weights % len(r.setup.Services)
	name, weight := r.setup.Services[i], 1+float64(r.weights)/1000
	zones := make([]string, len(r.setup.Zones))
	for i, z := range r.setup.Zones {
		zones[i] = fmt.Sprintf("%q", z)
	}
	text := serviceText(&r.setup, i, weight, -1, 440, zones)
	r.expect(fmt.Sprintf("weight %s=%g", name, weight), Set)
	r.cluster.Setting("weight-"+name, "service", name, text)
}

// replace drains servers and puts new ones in their places.
func (r *run) replace(ctx context.Context, s *Step) {
	old := r.cluster.Pods(-1)
	ready := s.Ready.Std()
	if ready == 0 {
		ready = 300 * time.Millisecond
	}
	if s.Over == 0 { // one release: all of them at once
		n := min(s.Count, len(old))
		for _, p := range old[:n] {
			r.leaves(p)
			r.cluster.Drain(p)
		}
		r.cluster.Flush()
		r.wait(ctx, ready)
		for _, p := range old[:n] {
			r.serverBegins(p.Machine)
		}
		for _, p := range old[:n] {
			r.cluster.End(p)
		}
		return
	}
	r.paced(ctx, s, func(i int) {
		p := old[i%len(old)]
		r.leaves(p)
		r.cluster.Drain(p)
		r.cluster.Flush()
		pause(ctx, ready)
		r.serverBegins(p.Machine)
		r.cluster.End(p)
	})
}

func (r *run) serverBegins(machine int) *Pod {
	p := r.cluster.Begin(machine%len(r.setup.Services), machine)
	r.expect(p.Addr, Ready)
	r.cluster.Flush()
	return p
}

func (r *run) machines(in Scope) (out []int) {
	for m, p := range r.setup.Places {
		if in.Has(p) {
			out = append(out, m)
		}
	}
	return out
}

// drain is an operator's word, to one node of a place: servers that stand there, too.
func (r *run) drain(ctx context.Context, s *Step) (note string, err error) {
	scope, _ := ParseScope(s.Place)
	machines := r.machines(scope)
	var pods []*Pod
	for _, p := range r.cluster.Pods(-1) {
		if scope.Has(r.setup.Places[p.Machine]) {
			pods = append(pods, p)
		}
	}
	r.paced(ctx, s, func(i int) {
		if i >= len(pods) || err != nil {
			return
		}
		p := pods[len(pods)-1-i]
		n := machines[0]
		r.leaves(p)
		err = r.workers[n/r.perWorker].call("Nodes.Drain", Word{n, r.setup.Services[p.Service] + "/" + p.ID()}, &None{})
	})
	return fmt.Sprintf("told to node %d", machines[0]), err
}

// fail takes a place out: its nodes die, its servers do, and what of the control side stands there. The cluster manager takes
// its servers out after the notice.
func (r *run) fail(ctx context.Context, s *Step) (string, error) {
	scope, _ := ParseScope(s.Place)
	machines := r.machines(scope)
	killed := ""
	for _, c := range r.controllers {
		if scope.Has(r.sites[c.name]) {
			c.kill()
			killed += " " + c.name
		}
	}
	err := r.killNodes(machines)
	notice := s.Notice.Std()
	if notice == 0 {
		notice = time.Second
	}
	r.wait(ctx, notice)
	for _, p := range r.cluster.Pods(-1) {
		if scope.Has(r.setup.Places[p.Machine]) {
			r.expect(p.Addr, Draining, Gone)
			r.cluster.Ready(p, false)
		}
	}
	r.cluster.Flush()
	return fmt.Sprintf("%d machines%s, said %v later", len(machines), killed, notice), err
}

// back brings a place back, cold: nodes that know nothing, servers that have just started.
func (r *run) back(ctx context.Context, s *Step) (string, error) {
	scope, _ := ParseScope(s.Place)
	machines := r.machines(scope)
	for i, c := range r.controllers {
		if scope.Has(r.sites[c.name]) && !c.runs() {
			if err := c.start(false); err != nil {
				return "", err
			}
			defer r.controllerReady(ctx, i)
		}
	}
	if err := r.startNodes(machines); err != nil {
		return "", err
	}
	n := 0
	for _, of := range r.cluster.pods {
		for _, p := range of {
			if !p.ready && !p.ending && scope.Has(r.setup.Places[p.Machine]) {
				n++
				p.started = time.Now()
				r.cluster.write(p)
				r.expect(p.Addr, Ready)
				r.cluster.Ready(p, true)
			}
		}
	}
	r.cluster.Flush()
	return fmt.Sprintf("%d nodes and %d servers", len(machines), n), nil
}

// setCut puts a cut in force everywhere, or without one those that are left.
func (r *run) setCut(name string, c *Cut) error {
	if c != nil {
		r.cuts[name] = *c
	}
	all := []Cut{}
	for _, x := range r.cuts {
		all = append(all, x)
	}
	r.net.Set(all)
	for _, w := range r.workers {
		if err := w.call("Nodes.Cuts", all, &None{}); err != nil {
			return err
		}
	}
	return nil
}
