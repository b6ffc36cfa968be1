package desiredstate

import (
	"bytes"
	"encoding/json"
	"fmt"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/record/record"
)

// Object is a Setting object of the cluster manager's API.
type Object struct {
	Key        string // NAMESPACE/NAME
	UID        string
	Generation int64
	CreatedAt  int64 // milliseconds of Unix time
	Spec       Spec
	Malformed  string // error in decoding the spec; empty: the spec was decoded
}

// Spec describes the entry of the record that an object defines.
type Spec struct {
	Kind string `json:"kind"` // service, route or tenant
	Name string `json:"name"` // for a tenant: SERVICE/TENANT
	Text string `json:"text"` // TOML as in the configuration file; for a tenant the JSON {"quota":..,"weight":..}
}

// Status is the status of an object in the API.
type Status struct {
	Accepted   bool   `json:"accepted"` // the record has the entry that the object defines
	Reason     string `json:"reason,omitempty"`
	Generation int64  `json:"observedGeneration"`
	Revision   int64  `json:"recordRevision,omitempty"` // revision of the entry
	Epoch      string `json:"recordEpoch,omitempty"`
	// For a service whose list the controller publishes: the number of nodes that watch the list at the leader, and the
	// list's revision.
	Nodes        int64 `json:"nodes,omitempty"`
	ListRevision int64 `json:"listRevision,omitempty"`
}

// tomlValue is the value of the entry of a service or a route.
type tomlValue struct {
	TOML string `json:"toml"`
}

// entry returns the entry that the object defines, with only the key and the value set. It validates this entry alone,
// and does not check whether the entry is consistent with other entries of the record.
func (o *Object) entry() (record.Entry, error) {
	entry := record.Entry{Key: record.Key{Kind: record.Kind(o.Spec.Kind), Name: o.Spec.Name}}
	if o.Malformed != "" {
		return entry, fmt.Errorf("spec: %s", o.Malformed)
	}
	switch entry.Kind {
	case record.KindService, record.KindRoute:
		value, err := json.Marshal(tomlValue{TOML: o.Spec.Text})
		if err != nil {
			return entry, err
		}
		entry.Value = value
	case record.KindTenant:
		entry.Value = json.RawMessage(o.Spec.Text)
	default:
		return entry, fmt.Errorf("spec.kind is %q, not service, route or tenant", o.Spec.Kind)
	}
	change := record.Change{Key: entry.Key, IdempotencyKey: "check", Value: entry.Value}
	if err := change.Validate(); err != nil {
		return entry, err
	}
	return entry, nodeconfig.ValidateEntry(entry)
}

// sameJSON reports whether two values are the same JSON text apart from whitespace between tokens.
func sameJSON(a, b json.RawMessage) bool {
	var compactA, compactB bytes.Buffer
	if json.Compact(&compactA, a) != nil || json.Compact(&compactB, b) != nil {
		return false
	}
	return bytes.Equal(compactA.Bytes(), compactB.Bytes())
}
