package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// TargetKind is the kind of part of the fleet that a fault is made at.
type TargetKind string

// The kinds of targets, by the names that mistakes are reported with.
const (
	TargetServer    TargetKind = "server"
	TargetNode      TargetKind = "node"
	TargetDiscovery TargetKind = "discovery"
)

// FaultTarget is what a fault is made at. Without an index, a share below one or a zone it is all of the kind.
type FaultTarget struct {
	Kind  TargetKind
	Tier  int     // of servers, from 0
	Index int     // of a single server or node; -1: none
	Share float64 // of the servers or nodes
	Zone  string  // of servers; "": any
}

// ParseFaultTarget reads "server:3", "servers:0.1", "zone:b" or "all", each with "tier:2/" before it for another tier
// than the first, or "node:1", "nodes", "nodes:0.3" or "discovery".
func ParseFaultTarget(text string) (FaultTarget, error) {
	t := FaultTarget{Kind: TargetServer, Index: -1, Share: 1}
	if text == "" {
		return t, errors.New("it is missing")
	}
	rest, err := t.parseTier(text)
	if err != nil {
		return t, err
	}
	kind, argument, _ := strings.Cut(rest, ":")
	switch kind {
	case "all", "":
	case "server", "node":
		t.Kind = TargetKind(kind)
		t.Index, err = parseIndex(kind, argument)
	case "servers":
		t.Share, err = parseShare(argument)
	case "zone":
		t.Zone = argument
	case "nodes":
		t.Kind = TargetNode
		if argument != "" {
			t.Share, err = parseShare(argument)
		}
	case "discovery":
		t.Kind = TargetDiscovery
	default:
		err = fmt.Errorf("%q is none of server:N, servers:SHARE, zone:NAME, all, node:N, nodes, discovery", text)
	}
	return t, err
}

// parseTier takes the tier from a target's text, if it names one, and returns the rest.
func (t *FaultTarget) parseTier(text string) (rest string, err error) {
	tier, rest, found := strings.Cut(text, "/")
	if !found {
		return text, nil
	}
	number, isTier := strings.CutPrefix(tier, "tier:")
	n, err := strconv.Atoi(number)
	if !isTier || err != nil || n < 1 {
		return "", fmt.Errorf("%q is no tier such as \"tier:2\"", tier)
	}
	t.Tier = n - 1
	return rest, nil
}

// parseIndex reads the index of a server or a node.
func parseIndex(kind, text string) (int, error) {
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 {
		return -1, fmt.Errorf("%q is no number of a %s", text, kind)
	}
	return index, nil
}

// parseShare reads a share of servers or nodes.
func parseShare(text string) (float64, error) {
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || !(share > 0 && share <= 1) {
		return 0, fmt.Errorf("%q is no share", text)
	}
	return share, nil
}

// hasTarget returns whether a target is in the fleet.
func (e *Experiment) hasTarget(t FaultTarget) bool {
	switch {
	case t.Tier >= len(e.Fleet.Tiers):
		return false
	case t.Zone != "" && !slices.Contains(e.Fleet.Zones, t.Zone):
		return false
	case t.Kind == TargetNode:
		return t.Index < e.Fleet.Nodes
	}
	return t.Index < e.Fleet.Tiers[t.Tier].Servers
}
