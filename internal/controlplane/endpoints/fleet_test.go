package endpoints

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"robincart/internal/resources/limits"
)

// outage is a fault of discovery that affects a whole fleet, and discovery's capacity after the fault.
type outage struct {
	name          string
	fault         fault         // lasts 8 s; noFault: all watches are reset instead
	fleetPollTime time.Duration // discovery's total time for one poll from each node
	queueTimeout  time.Duration
	servesClosed  bool
}

// recovery has the measurements of a fleet's recovery from one outage.
type recovery struct {
	pollsDuringOutage, pollsAfter int
	updated                       int           // nodes that were updated
	timeToHalf, timeToAll         time.Duration // time until half of the nodes, or all nodes, were updated
}

// All nodes of a fleet recover in time, with a bounded number of polls, after an outage of discovery or the end of all
// watches.
func TestFleet_Recovers(t *testing.T) {
	for _, nodes := range []int{20, 300} {
		for _, x := range []outage{
			{"down, quick", down, 500 * time.Millisecond, 2 * time.Second, false},
			{"down", down, 3 * time.Second, 2 * time.Second, false},
			{"down, slow", down, 4500 * time.Millisecond, 2 * time.Second, false},
			{"down, long queue timeout, serves closed polls", down, 4500 * time.Millisecond, 10 * time.Second, true},
			{"down, overloaded", down, 15 * time.Second, 2 * time.Second, false},
			{
				"unreachable, long queue timeout, serves closed polls",
				unreachable, 4500 * time.Millisecond, 10 * time.Second, true,
			},
			{"rejecting", rejecting, 3 * time.Second, 2 * time.Second, false},
			{"watches reset", noFault, 3 * time.Second, 2 * time.Second, false},
			{
				"watches reset, long queue timeout, serves closed polls",
				noFault, 4500 * time.Millisecond, 10 * time.Second, true,
			},
			{"watches reset, overloaded", noFault, 15 * time.Second, 2 * time.Second, false},
		} {
			t.Run(fmt.Sprint(nodes, " ", x.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					got := recoverFleet(t, nodes, x)
					assert.Equal(t, nodes, got.updated, "all nodes have the list again")
					// Pauses begin with 0.25 s and double up to two thirds of their upper bound, so a node sends six
					// polls in 8 s. A discovery that can update all nodes in time gets at most 1.5 polls per node after
					// the outage. A slower discovery repeatedly rejects the polls that time out in its queue, and a
					// node with a poll in the queue starts no other poll.
					assert.LessOrEqual(t, got.pollsDuringOutage, 6*nodes)
					if x.fleetPollTime < maxUpdateDelay {
						assert.LessOrEqual(t, got.timeToAll, maxUpdateDelay)
						assert.LessOrEqual(t, got.pollsAfter, 3*nodes/2)
					} else {
						assert.LessOrEqual(t, got.timeToAll, x.fleetPollTime+maxUpdateDelay)
						assert.LessOrEqual(t, got.pollsAfter, 4*nodes)
					}
				})
			})
		}
	}
}

func recoverFleet(t *testing.T, nodes int, x outage) recovery {
	t.Helper()
	s := newSimulation(t)
	d := s.startDiscovery(time.Millisecond)
	fleet := s.startFleet(d.dial, nodes, 1)
	time.Sleep(30 * time.Second)
	d.mu.Lock()
	d.polls = 0
	d.mu.Unlock()
	d.setFault(x.fault)
	if x.fault == noFault {
		d.dropWatches(false)
	} else {
		time.Sleep(8 * time.Second)
	}
	d.mu.Lock()
	d.serviceTime, d.queueTimeout, d.servesClosed = x.fleetPollTime/time.Duration(nodes), x.queueTimeout, x.servesClosed
	got := recovery{pollsDuringOutage: d.polls}
	d.polls, d.timedOut, d.wasted, d.maxQueue = 0, 0, 0, 0
	d.mu.Unlock()
	recovered := time.Now()
	d.setFault(noFault)
	for n := 0; got.updated < nodes && n < 3000; n++ {
		time.Sleep(checkInterval)
		got.updated = 0
		for _, m := range fleet {
			if m.updatedSince(recovered) {
				got.updated++
			}
		}
		got.timeToAll = time.Since(recovered)
		if got.timeToHalf == 0 && 2*got.updated >= nodes {
			got.timeToHalf = got.timeToAll
		}
	}
	time.Sleep(10 * time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	got.pollsAfter = d.polls
	t.Logf("polls during the outage %4d, after %4d, timed out %4d, wasted %4d, queue %3d, "+
		"half updated %5.2f s, last %5.2f s", got.pollsDuringOutage, got.pollsAfter, d.timedOut, d.wasted, d.maxQueue,
		got.timeToHalf.Seconds(), got.timeToAll.Seconds())
	return got
}

// All watches fall silent at the same time. Discovery is just fast enough to update the whole fleet in time, but it
// immediately rejects a poll that would have to wait too long. Discovery must not idle while the last nodes are in long
// pauses, and must not be kept busy with rejections. The sizes are those of an operator's fleet in which discovery
// failed to do so: 18 nodes, a service time of a third of a second for each poll, and a longest wait of two thirds of a
// second.
func TestFleet_BusyDiscoveryRejects(t *testing.T) {
	const runs = 20
	for _, x := range []struct {
		name                       string
		nodes                      int
		serviceTime, rejectionTime time.Duration
		maxMeanRecovery            time.Duration // mean time from the silence to the last node's update
		maxMeanPolls               float64       // mean number of polls per node
	}{
		{"slower than the bound", 18, 444 * time.Millisecond, 28 * time.Millisecond, 10500 * time.Millisecond, 3},
		{"just fast enough", 18, 340 * time.Millisecond, 20 * time.Millisecond, 7800 * time.Millisecond, 2.3},
		{"with spare capacity", 18, 250 * time.Millisecond, 20 * time.Millisecond, 5900 * time.Millisecond, 1.7},
		{"large fleet", 300, 18 * time.Millisecond, time.Millisecond, 7150 * time.Millisecond, 1.9},
		{
			"rejections take a third of the time of a poll",
			18, 250 * time.Millisecond, 80 * time.Millisecond, 7300 * time.Millisecond, 2.2,
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			total, worst, polls := time.Duration(0), time.Duration(0), 0
			for run := range runs {
				synctest.Test(t, func(t *testing.T) {
					s := newSimulation(t)
					d := s.startDiscovery(time.Millisecond)
					fleet := s.startFleet(d.dial, x.nodes, int64(1000*run))
					time.Sleep(30 * time.Second)
					d.mu.Lock()
					d.serviceTime, d.rejectionTime, d.maxWait = x.serviceTime, x.rejectionTime, 650*time.Millisecond
					d.polls = 0
					d.mu.Unlock()
					silent := time.Now()
					d.dropWatches(true)
					for _, n := range fleet {
						n.awaitUpdate(silent, time.Minute)
					}
					took := time.Since(silent)
					total += took
					worst = max(worst, took)
					d.mu.Lock()
					polls += d.polls
					d.mu.Unlock()
				})
			}
			mean, meanPolls := total/runs, float64(polls)/float64(runs*x.nodes)
			t.Logf("last node updated after %.2f s on average, %.2f s at most; %.2f polls per node",
				mean.Seconds(), worst.Seconds(), meanPolls)
			assert.LessOrEqual(t, mean, x.maxMeanRecovery)
			assert.LessOrEqual(t, meanPolls, x.maxMeanPolls)
		})
	}
}

// When all nodes change to another discovery, which rejects many of their polls, the node with the oldest list is
// updated sooner than the other nodes.
func TestFleet_OldestListIsUpdatedFirst(t *testing.T) {
	const nodes, runs = 18, 100
	var oldest, others time.Duration
	for run := range runs {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t)
			working := s.startDiscovery(time.Millisecond)
			full := s.startDiscovery(0)
			full.setFault(rejecting)
			next := s.startDiscovery(370 * time.Millisecond)
			next.mu.Lock()
			next.maxWait, next.rejectionTime = 630*time.Millisecond, 20*time.Millisecond
			next.mu.Unlock()
			var fleet []*testNode
			for i := range nodes {
				first := working
				if i == 0 {
					first = full
				}
				fleet = append(fleet, s.startNode(nodeOptions{
					dial: dialByAddress(next, first), seed: int64(1000*run + i), instances: nodes,
				}))
			}
			time.Sleep(13 * time.Second)
			movedAt := make([]time.Time, nodes)
			for _, i := range rand.New(rand.NewSource(int64(run))).Perm(nodes) {
				movedAt[i] = time.Now()
				fleet[i].watcher.SetAddress(nextAddress)
				time.Sleep(100 * time.Millisecond)
			}
			// The lists of the first discoveries arrived before the address change, so a list that arrives later is
			// from the next discovery.
			for i, n := range fleet {
				n.awaitUpdate(movedAt[i].Add(time.Millisecond), time.Minute)
				took := n.updatedAt().Sub(movedAt[i])
				if i == 0 {
					oldest += took
				} else {
					others += took
				}
			}
		})
	}
	oldest, others = oldest/runs, others/(runs*(nodes-1))
	t.Logf("mean time from the address change to the update: oldest list %.2f s, others %.2f s",
		oldest.Seconds(), others.Seconds())
	assert.Less(t, oldest, others*7/10)
}

// Discovery, which also serves other callers, could update all nodes within 3.5 s if no poll came late.
func TestFleet_SmallFleetIsUpdatedInTimeAfterAddressChange(t *testing.T) {
	const (
		nodes, runs        = 5, 40
		maxRelocationDelay = 4 * time.Second
	)
	late, worst := 0, time.Duration(0)
	for run := range runs {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t)
			working, next := s.startDiscovery(time.Millisecond), s.startDiscovery(400*time.Millisecond)
			next.maxWait, next.rejectionTime = 600*time.Millisecond, 7*time.Millisecond
			s.running.Go(func() {
				for s.ctx.Err() == nil {
					next.mu.Lock()
					next.scheduleWork()
					next.mu.Unlock()
					time.Sleep(2 * time.Second)
				}
			})
			fleet := s.startFleet(dialByAddress(next, working), nodes, int64(1000*run))
			time.Sleep(13 * time.Second)
			next.setFault(rejecting)
			movedAt := make([]time.Time, nodes)
			for i := range fleet {
				movedAt[i] = time.Now()
				fleet[i].watcher.SetAddress(nextAddress)
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(400 * time.Millisecond)
			next.setFault(noFault)
			for i, n := range fleet {
				n.awaitUpdate(movedAt[i].Add(time.Millisecond), time.Minute)
				took := n.updatedAt().Sub(movedAt[i])
				worst = max(worst, took)
				if took > maxRelocationDelay {
					late++
				}
			}
		})
	}
	t.Logf("%d of %d nodes late, the last after %.2f s", late, nodes*runs, worst.Seconds())
	assert.Zero(t, late)
}

// Guards against nodes that pause past the 4 s after an address change because the new discovery rejects all polls at
// first.
func TestFleet_SmallFleetIsUpdatedInTimeAfterFirstRejections(t *testing.T) {
	const (
		nodes, runs        = 5, 20
		maxRelocationDelay = 4 * time.Second
	)
	late := 0
	for run := range runs {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t)
			working, next := s.startDiscovery(time.Millisecond), s.startDiscovery(200*time.Millisecond)
			next.maxWait, next.rejectionTime = 600*time.Millisecond, 28*time.Millisecond
			fleet := s.startFleet(dialByAddress(next, working), nodes, int64(1000*run))
			time.Sleep(13 * time.Second)
			next.setFault(rejecting)
			movedAt := time.Now()
			for _, n := range fleet {
				n.watcher.SetAddress(nextAddress)
			}
			time.Sleep(2500 * time.Millisecond)
			next.setFault(noFault)
			for _, n := range fleet {
				n.awaitUpdate(movedAt.Add(time.Millisecond), time.Minute)
				if n.updatedAt().Sub(movedAt) > maxRelocationDelay {
					late++
				}
			}
		})
	}
	assert.Zero(t, late, "of %d nodes", nodes*runs)
}

// disturbance is a series of faults. When the disturbance ends, discovery publishes a change, which must reach the node
// within maxUpdateDelay after the publication.
type disturbance struct {
	name string
	// apply causes the faults and returns when its argument, the duration of the disturbance, has passed. The node was
	// started 40 s earlier.
	apply func(d *fakeDiscovery, n *testNode, r *rand.Rand, duration time.Duration)
}

// faultsInTurn returns a disturbance that causes faults one after another, each for an equal part of the disturbance's
// duration.
func faultsInTurn(name string, faults ...fault) disturbance {
	return disturbance{name, func(d *fakeDiscovery, _ *testNode, _ *rand.Rand, duration time.Duration) {
		for _, x := range faults {
			d.setFault(x)
			d.dropWatches(x == unreachable || x == unresponsive)
			time.Sleep(duration / time.Duration(len(faults)))
		}
	}}
}

// randomDuration returns a random duration of at most longest. It is cut so that a wait of this duration, starting now,
// does not last beyond the time end, at which the disturbance ends.
func randomDuration(r *rand.Rand, longest time.Duration, end time.Time) time.Duration {
	return min(time.Until(end), time.Duration(r.Float64()*float64(longest)))
}

func randomFault(r *rand.Rand) fault { return fault(1 + r.Intn(int(endingWatches))) }

// randomFaults causes random faults, each for up to 3 s.
func randomFaults(d *fakeDiscovery, _ *testNode, r *rand.Rand, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		d.setFault(randomFault(r))
		time.Sleep(randomDuration(r, 3*time.Second, end))
	}
}

// changeAddresses sets a randomly chosen fault and, for the given duration, changes the watcher's address of discovery
// repeatedly, at random intervals of up to 5 s.
func changeAddresses(d *fakeDiscovery, n *testNode, r *rand.Rand, duration time.Duration) {
	d.setFault(randomFault(r))
	end := time.Now().Add(duration)
	for i := 2; time.Now().Before(end); i++ {
		n.watcher.SetAddress(fmt.Sprintf("127.0.0.1:%d", i))
		time.Sleep(randomDuration(r, 5*time.Second, end))
	}
}

// changeRuns is the number of runs of each disturbance. Each run has a longer disturbance than the run before.
const changeRuns = 40

// disturbanceOf returns how long the disturbance of a run lasts, and the random number generator for it.
func disturbanceOf(run int) (time.Duration, *rand.Rand) {
	return time.Duration(run) * 397 * time.Millisecond, rand.New(rand.NewSource(int64(run)))
}

// A change that is published at the end of a disturbance, of any kind, reaches the node within maxUpdateDelay.
func TestFleet_ChangeArrivesInTime(t *testing.T) {
	for _, x := range []disturbance{
		faultsInTurn("down", down),
		faultsInTurn("unreachable", unreachable),
		faultsInTurn("unresponsive", unresponsive),
		faultsInTurn("rejecting", rejecting),
		faultsInTurn("resetting", resetting),
		faultsInTurn("half a message", truncating),
		faultsInTurn("ending watches", endingWatches),
		faultsInTurn("down, then unresponsive", down, unresponsive),
		faultsInTurn("rejecting, then unreachable", rejecting, unreachable),
		{"silent watches", func(d *fakeDiscovery, _ *testNode, _ *rand.Rand, duration time.Duration) {
			time.Sleep(duration)
			d.dropWatches(true)
		}},
		{"random faults", randomFaults},
		{"address changes", changeAddresses},
		{"no free descriptor", func(d *fakeDiscovery, n *testNode, _ *rand.Rand, duration time.Duration) {
			assert.True(t, n.budget.Acquire())
			d.dropWatches(false)
			synctest.Wait()
			assert.False(t, n.budget.Acquire(), "the watcher keeps its descriptor")
			time.Sleep(duration)
			n.budget.Release()
		}},
		{"one descriptor", func(d *fakeDiscovery, n *testNode, _ *rand.Rand, duration time.Duration) {
			assert.True(t, n.budget.Acquire())
			d.setFault(unresponsive)
			time.Sleep(duration)
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			checkChangesArrive(t, func(s *simulation, d *fakeDiscovery, run int) *testNode {
				n := s.startNode(nodeOptions{dial: d.dial, seed: int64(run), instances: 300})
				time.Sleep(40 * time.Second)
				duration, r := disturbanceOf(run)
				x.apply(d, n, r, duration)
				return n
			})
		})
	}
	t.Run("a new process", func(t *testing.T) {
		checkChangesArrive(t, func(s *simulation, d *fakeDiscovery, run int) *testNode {
			x := fault(run % int(endingWatches+1))
			d.setFault(x)
			n := s.startNode(nodeOptions{dial: d.dial, seed: int64(run), instances: 300})
			if x != noFault {
				duration, _ := disturbanceOf(run)
				time.Sleep(duration)
			}
			return n
		})
	})
	t.Run("a new process without a descriptor", func(t *testing.T) {
		checkChangesArrive(t, func(s *simulation, d *fakeDiscovery, run int) *testNode {
			budget := limits.NewBudget(2, 0, nil)
			assert.True(t, budget.Acquire())
			assert.True(t, budget.Acquire())
			n := s.startNode(nodeOptions{dial: d.dial, seed: int64(run), instances: 300, budget: budget})
			duration, _ := disturbanceOf(run)
			time.Sleep(duration)
			budget.Release()
			budget.Release()
			return n
		})
	})
}

// checkChangesArrive ends each run's disturbance, publishes a change, and checks that it arrives within maxUpdateDelay.
func checkChangesArrive(t *testing.T, disturb func(s *simulation, d *fakeDiscovery, run int) *testNode) {
	t.Helper()
	worst, late := time.Duration(0), 0
	for run := range changeRuns {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t)
			d := s.startDiscovery(pollTime)
			n := disturb(s, d, run)
			published := time.Now()
			d.setFault(noFault)
			d.publishChange()
			took := n.awaitUpdate(published, 30*time.Second)
			worst = max(worst, took)
			if took > maxUpdateDelay {
				late++
			}
		})
	}
	t.Logf("%2d of %d changes late, longest delay %5.2f s", late, changeRuns, worst.Seconds())
	assert.LessOrEqual(t, worst, maxUpdateDelay)
}

// A watch may end before it has sent a published change. The change has to arrive soon after the end of the watch, even
// if many polls had failed before the watch was established, or if the watch was short.
func TestFleet_WatchEndsBeforeChange(t *testing.T) {
	const maxDelay, serviceTime = 2 * time.Second, 300 * time.Millisecond
	worst := time.Duration(0)
	for run := range 40 {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t)
			d := s.startDiscovery(serviceTime)
			d.setFault(rejecting)
			n := s.startFleet(d.dial, 1, int64(run))[0]
			time.Sleep(10 * time.Second) // until the pauses have grown
			recovered := time.Now()
			d.setFault(noFault)
			n.awaitUpdate(recovered, time.Hour)
			time.Sleep(time.Duration(run) * 97 * time.Millisecond)
			ended := time.Now()
			d.dropWatches(false)
			d.publishChange()
			worst = max(worst, n.awaitUpdate(ended, time.Hour))
		})
	}
	t.Logf("longest delay %.2f s", worst.Seconds())
	assert.Less(t, worst, maxDelay)
}

// If a discovery server ends each watch right after the snapshot, it is polled no more often than one whose polls fail:
// the pauses grow up to their upper bound, and from then on each pause is at least a third of that bound.
func TestFleet_EndingWatchesKeepBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t)
		d := s.startDiscovery(time.Millisecond)
		d.setFault(endingWatches)
		n := s.startFleet(d.dial, 1, 1)[0]
		time.Sleep(10 * time.Second)
		d.mu.Lock()
		d.polls = 0
		d.mu.Unlock()
		time.Sleep(time.Minute)
		l := n.watcher.limits
		assert.True(t, n.updatedSince(time.Now().Add(-l.MaxPollInterval)), "each snapshot is applied")
		d.mu.Lock()
		defer d.mu.Unlock()
		t.Logf("%d polls in a minute", d.polls)
		assert.LessOrEqual(t, d.polls, int(time.Minute/(l.MaxReconnectDelay/2)))
		assert.GreaterOrEqual(t, d.polls, int(time.Minute/l.MaxPollInterval))
	})
}
