package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Place is where something is. Numbers count over the whole fleet, not within the next larger place.
type Place struct{ Region, Zone, Rack, Machine int }

// ScopeKind is the size of a Scope.
type ScopeKind string

// The kinds.
const (
	scopeAll     ScopeKind = ""
	scopeRegion  ScopeKind = "region"
	scopeZone    ScopeKind = "zone"
	scopeRack    ScopeKind = "rack"
	scopeMachine ScopeKind = "machine"
)

// Scope is a part of the fleet. The zero Scope is all of it.
type Scope struct {
	Kind   ScopeKind
	Number int
}

// ParseScope reads a text such as "zone:3". An empty text is all of the fleet.
func ParseScope(text string) (Scope, error) {
	if text == "" {
		return Scope{}, nil
	}
	kind, digits, _ := strings.Cut(text, ":")
	number, err := strconv.Atoi(digits)
	scope := Scope{Kind: ScopeKind(kind), Number: number}
	switch scope.Kind {
	case scopeRegion, scopeZone, scopeRack, scopeMachine:
		if err == nil && number >= 0 {
			return scope, nil
		}
	}
	return Scope{}, fmt.Errorf("%q is no place such as region:0, zone:3, rack:5 or machine:17", text)
}

// Contains reports whether a place is in the scope.
func (s Scope) Contains(p Place) bool {
	switch s.Kind {
	case scopeRegion:
		return p.Region == s.Number
	case scopeZone:
		return p.Zone == s.Number
	case scopeRack:
		return p.Rack == s.Number
	case scopeMachine:
		return p.Machine == s.Number
	}
	return true
}

// Latency is how long a byte takes one way, by the largest place in which the two ends differ: region, zone or machine.
type Latency struct{ Region, Zone, Rack time.Duration }

func (l Latency) between(a, b Place) time.Duration {
	switch {
	case a.Region != b.Region:
		return l.Region
	case a.Zone != b.Zone:
		return l.Zone
	case a.Machine != b.Machine:
		return l.Rack
	}
	return 0
}

// Partition keeps what is sent from one part of the fleet to another from arriving. Without To it is between From and
// everything else.
type Partition struct {
	From, To Scope
	OneWay   bool // from From to To only
}

func (p Partition) blocks(from, to Place) bool {
	return p.separates(from, to) || !p.OneWay && p.separates(to, from)
}

// separates reports whether the first place is in From and the second one is beyond the partition.
func (p Partition) separates(a, b Place) bool {
	if p.To.Kind == scopeAll {
		return p.From.Contains(a) && !p.From.Contains(b)
	}
	return p.From.Contains(a) && p.To.Contains(b)
}
