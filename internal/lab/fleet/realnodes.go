package fleet

import (
	"context"
	"fmt"
	"strings"

	"robincart/internal/lab/standin"
)

// startRealNode starts a node as a process, on the first machine.
func (r *fleetRun) startRealNode(ctx context.Context, number int) error {
	address, err := r.ports.next()
	if err != nil {
		return err
	}
	recordTable := ""
	if *r.scenario.Record {
		storeAddress, err := r.realNodeStore()
		if err != nil {
			return err
		}
		recordTable = fmt.Sprintf("[record]\nstore = %q\n", storeAddress)
	}
	name := fmt.Sprint("real", number)
	node := &standin.Node{
		Name:    name,
		Addr:    address,
		Program: r.options.NodeProgram,
		Dir:     r.options.Dir,
		Text:    NodeFile(&r.config, name, address, 0, plannedNodes, recordTable),
	}
	if err := node.Start(ctx); err != nil {
		return err
	}
	r.realNodes = append(r.realNodes, node)
	return nil
}

// realNodeStore returns the store as a real node's file names it, by proxies.
func (r *fleetRun) realNodeStore() (string, error) {
	place := r.config.Places[0]
	if !r.scenario.RecordByControllers {
		return r.proxiedStore(proxyReal, place)
	}
	var addresses []string
	for _, server := range r.config.RecordServers {
		address, err := r.startProxy(proxyReal, place, server)
		if err != nil {
			return "", err
		}
		addresses = append(addresses, address)
	}
	return "controllers:" + strings.Join(addresses, ","), nil
}
