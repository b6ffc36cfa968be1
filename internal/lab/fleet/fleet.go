// Package fleet plays the control side of whole fleets: hollow nodes, which watch and record as nodes do but carry no
// traffic, with real controllers, and stand-ins for the store of record and the cluster manager's API, spread over
// regions whose links have latency and can be partitioned. It measures how long changes take to be in force at every
// node, and what each role uses for that.
//
// A Scenario says what the fleet is, what is done to it step by step, and what is expected of it. Play starts
// everything, carries out the steps, and ends everything. The API's stand-in and the links of processes run in this
// process; hollow nodes and the store's stand-in run in further processes of robinlab (Part), which are called over
// their standard streams; controllers and real nodes are programs of their own.
//
// Requests of clients are not part of it: package run plays those.
package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"robincart/internal/lab/apiserver"
	"robincart/internal/lab/standin"
)

const (
	privateDir       = 0o700
	nodesPerWorker   = 440 // a process may have 20,000 descriptors, and each node takes 33
	firstNodeTimeout = 30 * time.Second
	allNodesTimeout  = 120 * time.Second
	serverPort       = 9
)

// Options are what a run needs beside its scenario.
type Options struct {
	NodeProgram       string
	ControllerProgram string
	LabProgram        string // robinlab, for the parts
	Dir               string // for logs and files
	Notes             func(format string, args ...any)
}

// fleetRun is one run of a scenario.
type fleetRun struct {
	options  Options
	scenario *Scenario
	nodes    int
	config   HollowConfig
	network  *Network
	tracker  *tracker
	ports    portAllocator

	api         *apiserver.Server
	cluster     *Cluster
	store       *childProcess // nil: there is none
	storeURL    string
	apiPlace    Place
	controllers []*controller
	proxies     []*countedProxy
	realNodes   []*standin.Node

	workers        []*childProcess // of hollow nodes
	nodesPerWorker int

	partitions   map[string]Partition // by the step that made each
	settings     int                  // made so far
	nodesStarted time.Time            // when all nodes began to start
}

// Play runs a scenario with so many nodes.
func Play(ctx context.Context, scenario *Scenario, nodes int, options Options) (*Result, error) {
	if options.Notes == nil {
		options.Notes = func(string, ...any) {}
	}
	if err := os.MkdirAll(options.Dir, privateDir); err != nil {
		return nil, err
	}
	places := scenario.Places(nodes)
	r := &fleetRun{
		options:    options,
		scenario:   scenario,
		nodes:      nodes,
		config:     HollowConfig{Latency: scenario.latency(), Places: places},
		network:    NewNetwork(scenario.latency()),
		tracker:    newTracker(places, scenario.Regions),
		partitions: map[string]Partition{},
	}
	defer r.close()
	return r.play(ctx)
}

// play starts the fleet and carries out the steps.
func (f *fleetRun) play(ctx context.Context) (*Result, error) {
	started, err := f.startAndMeasure(ctx)
	if err != nil {
		return nil, err
	}
	result := &Result{Scenario: f.scenario.Name, Nodes: f.nodes, Steps: []StepResult{started}}
	for i := range f.scenario.Steps {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		step := &f.scenario.Steps[i]
		f.tracker.beginStep(i + 1)
		stepResult, err := f.playStep(ctx, step)
		if err != nil {
			result.Errors = append(result.Errors, fmt.Sprintf("%s: %v", step.Name, err))
		}
		result.Steps = append(result.Steps, stepResult)
	}
	f.takeEvents()
	for i := range result.Steps {
		result.Steps[i].Updates = f.tracker.propagation(i, false)
		result.Steps[i].Drains = f.tracker.propagation(i, true)
	}
	result.CameBack = f.tracker.cameBack
	result.judge(f.scenario.Expect)
	return result, nil
}

// startAndMeasure starts the fleet and returns the result of that.
func (f *fleetRun) startAndMeasure(ctx context.Context) (StepResult, error) {
	begin := time.Now()
	if err := f.start(ctx); err != nil {
		return StepResult{}, err
	}
	result := StepResult{Name: startName, Duration: time.Since(begin)}
	listsKnown := time.Since(f.nodesStarted)
	recordQuiet, err := f.awaitRecord(ctx)
	if err != nil {
		return StepResult{}, err
	}
	result.Note = fmt.Sprintf("all nodes together know all lists after %.1f s, the record is quiet %.1f s later",
		listsKnown.Seconds(), recordQuiet.Seconds())
	result.Commits = f.commits()
	return result, nil
}

// start starts the control side, then the nodes.
func (f *fleetRun) start(ctx context.Context) error {
	if err := f.startControlSide(ctx); err != nil {
		return err
	}
	if err := f.startDiscovery(); err != nil {
		return err
	}
	for i := range f.scenario.RealNodes {
		if err := f.startRealNode(ctx, i); err != nil {
			return err
		}
	}
	if err := f.startWorkers(); err != nil {
		return err
	}
	return f.startAllNodes(ctx)
}

// startAllNodes starts the hollow nodes together. Unless they are to start on an empty record, one of them in the
// store's zone starts before: what it receives is recorded before the others start, as in a fleet that has long been
// there.
func (f *fleetRun) startAllNodes(ctx context.Context) error {
	first := -1
	if *f.scenario.Record && !f.scenario.EmptyRecord {
		isNearStore := func(p Place) bool { return p.Zone == f.storePlace().Zone }
		first = slices.IndexFunc(f.config.Places, isNearStore)
	}
	if first >= 0 {
		if err := f.startFirstNode(ctx, first); err != nil {
			return err
		}
	}
	var others []int
	for node := range f.nodes {
		if node != first {
			others = append(others, node)
		}
	}
	f.nodesStarted = time.Now()
	if err := f.startNodes(others); err != nil {
		return err
	}
	return f.awaitLists(ctx, f.nodes, allNodesTimeout)
}

func (f *fleetRun) startFirstNode(ctx context.Context, node int) error {
	if err := f.startNodes([]int{node}); err != nil {
		return err
	}
	if err := f.awaitLists(ctx, 1, firstNodeTimeout); err != nil {
		return err
	}
	_, err := f.awaitRecord(ctx)
	return err
}

// close ends everything, also of a start that has failed half way. It lifts partitions, for which connections would
// wait.
func (f *fleetRun) close() {
	for _, node := range f.realNodes {
		node.Kill()
	}
	for _, worker := range f.workers {
		worker.kill()
	}
	for _, controller := range f.controllers {
		controller.kill()
	}
	if f.store != nil {
		f.store.kill()
	}
	f.network.SetPartitions(nil)
	for _, proxy := range f.proxies {
		proxy.Close()
	}
	if f.api != nil {
		f.api.Stop()
	}
}

// logPath returns the path of a process's log.
func (f *fleetRun) logPath(name string) string { return filepath.Join(f.options.Dir, name+".log") }
