// Package fleet plays the control side of whole fleets: hollow nodes, which watch and record as nodes do but carry no
// traffic, with real controllers, and stand-ins for the store of record and the cluster manager's API, spread over
// regions whose links have latency and can be partitioned. It measures how long changes take to be in force at every
// node, and what each role uses for that.
//
// A Scenario says what the fleet is, what is done to it step by step, and what is expected. Play starts everything, as
// processes of its own where it can not share one, carries out the steps, and ends everything. Hollow nodes run in
// further processes of robinlab (Part), which are called over their standard streams.
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
func (r *fleetRun) play(ctx context.Context) (*Result, error) {
	started, err := r.startAndMeasure(ctx)
	if err != nil {
		return nil, err
	}
	result := &Result{Scenario: r.scenario.Name, Nodes: r.nodes, Steps: []StepResult{started}}
	for i := range r.scenario.Steps {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		step := &r.scenario.Steps[i]
		r.tracker.beginStep(i + 1)
		stepResult, err := r.playStep(ctx, step)
		if err != nil {
			result.Errors = append(result.Errors, fmt.Sprintf("%s: %v", step.Name, err))
		}
		result.Steps = append(result.Steps, stepResult)
	}
	r.takeEvents()
	for i := range result.Steps {
		result.Steps[i].Updates = r.tracker.propagation(i, false)
		result.Steps[i].Drains = r.tracker.propagation(i, true)
	}
	result.CameBack = r.tracker.cameBack
	result.judge(r.scenario.Expect)
	return result, nil
}

// startAndMeasure starts the fleet and returns the result of that.
func (r *fleetRun) startAndMeasure(ctx context.Context) (StepResult, error) {
	begin := time.Now()
	if err := r.start(ctx); err != nil {
		return StepResult{}, err
	}
	result := StepResult{Name: startName, Duration: time.Since(begin)}
	listsKnown := time.Since(r.nodesStarted)
	recordQuiet, err := r.awaitRecord(ctx)
	if err != nil {
		return StepResult{}, err
	}
	result.Note = fmt.Sprintf("all nodes together know all lists after %.1f s, the record is quiet %.1f s later",
		listsKnown.Seconds(), recordQuiet.Seconds())
	result.Commits = r.commits()
	return result, nil
}

// start starts the control side, then the nodes.
func (r *fleetRun) start(ctx context.Context) error {
	if err := r.startControlSide(ctx); err != nil {
		return err
	}
	if err := r.startDiscovery(); err != nil {
		return err
	}
	for i := range r.scenario.RealNodes {
		if err := r.startRealNode(ctx, i); err != nil {
			return err
		}
	}
	if err := r.startWorkers(); err != nil {
		return err
	}
	return r.startAllNodes(ctx)
}

// startAllNodes starts the hollow nodes together. Unless they are to start on an empty record, one of them in the
// store's zone starts before: what it receives is recorded before the others start, as in a fleet that has long been
// there.
func (r *fleetRun) startAllNodes(ctx context.Context) error {
	first := -1
	if *r.scenario.Record && !r.scenario.EmptyRecord {
		isNearStore := func(p Place) bool { return p.Zone == r.storePlace().Zone }
		first = slices.IndexFunc(r.config.Places, isNearStore)
	}
	if first >= 0 {
		if err := r.startFirstNode(ctx, first); err != nil {
			return err
		}
	}
	var others []int
	for node := range r.nodes {
		if node != first {
			others = append(others, node)
		}
	}
	r.nodesStarted = time.Now()
	if err := r.startNodes(others); err != nil {
		return err
	}
	return r.awaitLists(ctx, r.nodes, allNodesTimeout)
}

func (r *fleetRun) startFirstNode(ctx context.Context, node int) error {
	if err := r.startNodes([]int{node}); err != nil {
		return err
	}
	if err := r.awaitLists(ctx, 1, firstNodeTimeout); err != nil {
		return err
	}
	_, err := r.awaitRecord(ctx)
	return err
}

// close ends everything, also of a start that has failed half way. It lifts partitions, for which connections would
// wait.
func (r *fleetRun) close() {
	for _, node := range r.realNodes {
		node.Kill()
	}
	for _, worker := range r.workers {
		worker.kill()
	}
	for _, controller := range r.controllers {
		controller.kill()
	}
	if r.store != nil {
		r.store.kill()
	}
	r.network.SetPartitions(nil)
	for _, proxy := range r.proxies {
		proxy.Close()
	}
	if r.api != nil {
		r.api.Stop()
	}
}

// logPath returns the path of a process's log.
func (r *fleetRun) logPath(name string) string { return filepath.Join(r.options.Dir, name+".log") }
