package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	listsPoll  = 100 * time.Millisecond
	recordPoll = 200 * time.Millisecond
	eventsPoll = 100 * time.Millisecond
	// quietPolls in a row without a pending write make the record quiet.
	quietPolls = 5
)

// startWorkers starts the processes of hollow nodes. Their nodes are not started yet.
func (f *fleetRun) startWorkers() error {
	count := (f.nodes + nodesPerWorker - 1) / nodesPerWorker
	f.nodesPerWorker = (f.nodes + count - 1) / count
	for i := range count {
		name := fmt.Sprint("hollow", i)
		worker := &childProcess{
			name:    name,
			logPath: f.logPath(name),
			args:    []string{f.options.LabProgram, PartCommand, nodesPart},
			calls:   true,
		}
		if err := worker.start(); err != nil {
			return err
		}
		f.workers = append(f.workers, worker)
		config := f.config
		config.FirstNode = i * f.nodesPerWorker
		config.Places = config.Places[config.FirstNode:min(f.nodes, config.FirstNode+f.nodesPerWorker)]
		if err := worker.call(callPrepare, config, &Empty{}); err != nil {
			return err
		}
	}
	return nil
}

// workerOf returns the process of a node.
func (f *fleetRun) workerOf(node int) *childProcess { return f.workers[node/f.nodesPerWorker] }

// callNodes calls the workers that have some of these nodes, side by side.
func (f *fleetRun) callNodes(nodes []int, method string) error {
	byWorker := make([][]int, len(f.workers))
	for _, node := range nodes {
		worker := node / f.nodesPerWorker
		byWorker[worker] = append(byWorker[worker], node)
	}
	errs := make([]error, len(f.workers))
	var calling sync.WaitGroup
	for i, numbers := range byWorker {
		if len(numbers) > 0 {
			calling.Go(func() { errs[i] = f.workers[i].call(method, NodeNumbers{Numbers: numbers}, &Empty{}) })
		}
	}
	calling.Wait()
	return errors.Join(errs...)
}

func (f *fleetRun) startNodes(nodes []int) error {
	f.tracker.nodesStart(nodes)
	return f.callNodes(nodes, callStart)
}

func (f *fleetRun) killNodes(nodes []int) error {
	f.takeEvents()
	f.tracker.nodesDie(nodes)
	return f.callNodes(nodes, callKill)
}

// awaitLists waits until so many nodes run and each knows a ready server on every machine.
func (f *fleetRun) awaitLists(ctx context.Context, nodes int, timeout time.Duration) error {
	known := 0
	limit := time.Now().Add(timeout)
	for time.Now().Before(limit) && ctx.Err() == nil {
		usage, err := f.hollowUsage(false)
		if err != nil {
			return err
		}
		known = usage.MinReadyServers
		if usage.Nodes >= nodes && known >= f.nodes {
			f.takeEvents()
			return nil
		}
		time.Sleep(listsPoll)
	}
	return fmt.Errorf("after %v a node knows %d of %d servers", timeout, known, f.nodes)
}

// awaitRecord waits until nodes have nothing to write to the store for a second, and returns how long it took until
// then. That they still have something after the scenario's timeout is noted.
func (f *fleetRun) awaitRecord(ctx context.Context) (time.Duration, error) {
	if !*f.scenario.Record {
		return 0, nil
	}
	timeout := f.scenario.RecordTimeout.Std()
	begin := time.Now()
	pending, quiet := 0, 0
	for time.Since(begin) < timeout && ctx.Err() == nil {
		usage, err := f.hollowUsage(false)
		if err != nil {
			return 0, err
		}
		pending = usage.PendingWrites
		if pending > 0 {
			quiet = 0
		} else {
			quiet++
		}
		if quiet >= quietPolls {
			return time.Since(begin) - quietPolls*recordPoll, nil
		}
		f.takeEvents()
		time.Sleep(recordPoll)
	}
	f.options.Notes("after %v nodes still have %d changes to write to the store", timeout, pending)
	return time.Since(begin), nil
}

// awaitChanges waits until all changes of the present step are in force at every node, or for the timeout.
func (f *fleetRun) awaitChanges(ctx context.Context, timeout time.Duration) {
	limit := time.Now().Add(timeout)
	for time.Now().Before(limit) && ctx.Err() == nil {
		f.takeEvents()
		if f.tracker.missing() == 0 {
			return
		}
		time.Sleep(eventsPoll)
	}
}

// hollowUsage returns the usage of all hollow nodes.
func (f *fleetRun) hollowUsage(collect bool) (HollowUsage, error) {
	total := HollowUsage{MinReadyServers: math.MaxInt}
	for _, worker := range f.workers {
		var usage HollowUsage
		if err := worker.call(callUse, collect, &usage); err != nil {
			return total, err
		}
		total.Nodes += usage.Nodes
		total.EndpointLists = total.EndpointLists.Add(usage.EndpointLists)
		total.Record = total.Record.Add(usage.Record)
		total.HeapBytes += usage.HeapBytes
		total.PendingWrites += usage.PendingWrites
		total.NotFollowing += usage.NotFollowing
		if usage.Nodes > 0 {
			total.MinReadyServers = min(total.MinReadyServers, usage.MinReadyServers)
		}
	}
	return total, nil
}

// takeEvents takes the events that the workers have. One that can't be called has none.
func (f *fleetRun) takeEvents() {
	for _, worker := range f.workers {
		var events []Event
		if err := worker.call(callEvents, Empty{}, &events); err == nil {
			f.tracker.take(events...)
		}
	}
}

// commits returns the store's commits since its process started, none if it does not run.
func (f *fleetRun) commits() int {
	commits := 0
	if f.store != nil && f.store.isRunning() {
		f.store.call(callCommits, Empty{}, &commits)
	}
	return commits
}
