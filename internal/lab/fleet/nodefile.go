package fleet

import (
	"fmt"
	"strings"
)

const (
	defaultWeight = 1
	noZone        = -1
	// plannedNodes is the size of the fleet as nodes and settings have it, whatever the run's size.
	plannedNodes = 440
)

// NodeFile returns the configuration file of a node, hollow or real. The tables are added to it.
func NodeFile(c *HollowConfig, name, listen string, zone, nodes int, tables string) string {
	const form = `name = %q
listen = [%q]
[log]
level = "error"
[machine]
cores = 1
memory_mb = 64
sockets = 1024
%s`
	const route = `[[route]]
name = %q
host = %q
to = %q
`
	var text strings.Builder
	fmt.Fprintf(&text, form, name, listen, tables)
	for _, service := range c.Services {
		text.WriteString(c.serviceTable(&service, defaultWeight, zone, nodes))
		fmt.Fprintf(&text, route, service.Name, service.Name+".example.org", service.Name)
	}
	return text.String()
}

// serviceTable returns a service's part of the file, or with noZone that of a setting. A weight is the smallest of
// changes: nodes put it in force in place.
func (h *HollowConfig) serviceTable(service *Service, weight float64, zone, nodes int) string {
	const form = `[[service]]
name = %q
discovery = %q
guarantee = %.4f
weight = %g
nodes = %d
zones = [%s]
%s[[service.method]]
name = "find"
repeat = "idempotent"
target = "400ms"
deadline = "2s"
`
	var quoted []string
	for _, name := range h.Zones {
		quoted = append(quoted, fmt.Sprintf("%q", name))
	}
	zoneLine := ""
	if zone != noZone {
		zoneLine = fmt.Sprintf("zone = %s\n", quoted[zone])
	}
	guarantee := 1 / float64(len(h.Services))
	zones := strings.Join(quoted, ", ")
	return fmt.Sprintf(form, service.Name, service.Discovery, guarantee, weight, nodes, zones, zoneLine)
}
