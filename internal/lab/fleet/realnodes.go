package fleet

import (
	"context"
	"fmt"
	"strings"

	"robincart/internal/lab/standin"
)

// startRealNode starts a node as a process, on the first machine.
func (f *fleetRun) startRealNode(ctx context.Context, number int) error {
	address, err := f.ports.next()
	if err != nil {
		return err
	}
	recordTable := ""
	if *f.scenario.Record {
		storeAddress, err := f.realNodeStore()
		if err != nil {
			return err
		}
		recordTable = fmt.Sprintf("[record]\nstore = %q\n", storeAddress)
	}
	name := fmt.Sprint("real", number)
	node := &standin.Node{
		Name:         name,
		Addr:         address,
		Program:      f.options.NodeProgram,
		Dir:          f.options.Dir,
		OperatorFile: NodeFile(&f.config, name, address, 0, plannedNodes, recordTable),
	}
	if err := node.Start(ctx); err != nil {
		return err
	}
	f.realNodes = append(f.realNodes, node)
	return nil
}

// realNodeStore returns the store as a real node's file names it, by proxies.
func (f *fleetRun) realNodeStore() (string, error) {
	place := f.config.Places[0]
	if !f.scenario.RecordByControllers {
		return f.proxiedStore(proxyReal, place)
	}
	var addresses []string
	for _, server := range f.config.RecordServers {
		address, err := f.startProxy(proxyReal, place, server)
		if err != nil {
			return "", err
		}
		addresses = append(addresses, address)
	}
	return "controllers:" + strings.Join(addresses, ","), nil
}
