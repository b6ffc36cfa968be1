package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// FaultTarget says what a fault is on.
type FaultTarget struct {
	What  string // server, node or discovery
	Tier  int    // of servers, from 0
	Index int    // -1: not one alone
	Part  float64
	Zone  string
}

// ParseFaultTarget reads "server:3", "servers:0.1", "zone:b", "all", each with "tier:2/" before it for another tier than the
// first; "node:1", "nodes", "nodes:0.3", "discovery".
func ParseFaultTarget(text string) (FaultTarget, error) {
	s := FaultTarget{What: "server", Index: -1, Part: 1}
	rest := text
	if tier, r, ok := strings.Cut(rest, "/"); ok {
		n, err := strconv.Atoi(strings.TrimPrefix(tier, "tier:"))
		if err != nil || n < 1 || !strings.HasPrefix(tier, "tier:") {
			return s, fmt.Errorf("%q is no tier such as \"tier:2\"", tier)
		}
		s.Tier, rest = n-1, r
	}
	what, arg, _ := strings.Cut(rest, ":")
	var err error
	switch what {
	case "all", "":
		if text == "" {
			return s, errors.New("it is missing")
		}
	case "server", "node":
		s.What = what
		if s.Index, err = strconv.Atoi(arg); err != nil || s.Index < 0 {
			return s, fmt.Errorf("%q is no number of a %s", arg, what)
		}
	case "servers":
		if s.Part, err = strconv.ParseFloat(arg, 64); err != nil || !(s.Part > 0 && s.Part <= 1) {
			return s, fmt.Errorf("%q is no share", arg)
		}
	case "zone":
		s.Zone = arg
	case "nodes":
		s.What = "node"
		if arg == "" {
			break
		}
		if s.Part, err = strconv.ParseFloat(arg, 64); err != nil || !(s.Part > 0 && s.Part <= 1) {
			return s, fmt.Errorf("%q is no share", arg)
		}
	case "discovery":
		s.What = "discovery"
	default:
		return s, fmt.Errorf("%q is none of server:N, servers:SHARE, zone:NAME, all, node:N, nodes, discovery", text)
	}
	return s, nil
}

func (e *Experiment) there(s FaultTarget) bool {
	switch {
	case s.Tier >= len(e.Fleet.Tier):
		return false
	case s.Zone != "" && !slices.Contains(e.Fleet.Zones, s.Zone):
		return false
	case s.What == "node":
		return s.Index < e.Fleet.Nodes
	}
	return s.Index < e.Fleet.Tier[s.Tier].Servers
}
