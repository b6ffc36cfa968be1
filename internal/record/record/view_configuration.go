package record

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// configurationKinds are the kinds of entries that a node compiles into its configuration.
var configurationKinds = []Kind{KindService, KindRoute, KindTenant}

// IsConfiguration reports whether a node compiles entries of this kind into its configuration.
func (k Kind) IsConfiguration() bool { return slices.Contains(configurationKinds, k) }

// Configuration has the entries from which a node compiles its configuration. The two lists differ where a recorded
// entry is invalid or has not been compiled yet.
type Configuration struct {
	Recorded []Entry // the entries of the copy, without deleted entries
	InForce  []Entry // the entries that the node's configuration contained when it was last compiled
}

// InvalidEntry is the state of an entry in the copy that a node could not compile into its configuration.
type InvalidEntry struct {
	Key
	Revision        int64 // of the invalid entry; 0: the deletion of the entry is invalid
	InForceRevision int64 // of the version that is in force in its place; 0: none is in force
	Cause           error
}

// Error returns the entry's kind, name and revision, and what is wrong with it.
func (i *InvalidEntry) Error() string {
	version := fmt.Sprintf("revision %d", i.Revision)
	if i.Revision == 0 {
		version = "deleted"
	}
	return fmt.Sprintf("%s %s, %s: %v", i.Kind, i.Name, version, i.Cause)
}

// Unwrap returns the cause.
func (i *InvalidEntry) Unwrap() error { return i.Cause }

// ConfigurationDifference is a service, route or tenant whose entry in the copy is not the entry in force.
type ConfigurationDifference struct {
	Key
	InForce *Entry `json:"in_force,omitempty"` // nil: none is in force
}

// SameConfiguration reports whether two entries compile to the same configuration. Revisions may differ, since an
// import assigns them anew.
func (e Entry) SameConfiguration(other Entry) bool {
	return e.Key == other.Key && e.Deleted == other.Deleted && bytes.Equal(e.Value, other.Value)
}

// Configuration returns the entries from which the node compiles its configuration, sorted by kind and name.
func (v *View) Configuration() Configuration {
	var configuration Configuration
	for _, kind := range configurationKinds {
		configuration.Recorded = append(configuration.Recorded, v.Entries(kind)...)
	}
	for _, entry := range v.inForce {
		configuration.InForce = append(configuration.InForce, entry)
	}
	SortEntries(configuration.Recorded)
	SortEntries(configuration.InForce)
	return configuration
}

// SetInForce sets the entries that the node's configuration contains.
func (v *View) SetInForce(entries []Entry) {
	v.inForce = make(map[Key]Entry, len(entries))
	for _, entry := range entries {
		v.inForce[entry.Key] = entry
	}
}

// configurationDifferences returns how the entries in force differ from the copy, sorted by kind and name. It returns
// nil before the first configuration is compiled.
func (v *View) configurationDifferences() []ConfigurationDifference {
	if v.inForce == nil {
		return nil
	}
	var differences []ConfigurationDifference
	for key, entry := range v.inForce {
		if !v.entries[key].SameConfiguration(entry) {
			differences = append(differences, ConfigurationDifference{Key: key, InForce: &entry})
		}
	}
	for key, entry := range v.entries {
		_, inForce := v.inForce[key]
		if key.Kind.IsConfiguration() && !entry.Deleted && !inForce {
			differences = append(differences, ConfigurationDifference{Key: key})
		}
	}
	slices.SortFunc(differences, func(a, b ConfigurationDifference) int {
		return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Name, b.Name))
	})
	return differences
}

// restoreInForce sets the entries in force to the copy's entries, except for the differences.
func (v *View) restoreInForce(differences []ConfigurationDifference) {
	v.inForce = map[Key]Entry{}
	for key, entry := range v.entries {
		if key.Kind.IsConfiguration() && !entry.Deleted {
			v.inForce[key] = entry
		}
	}
	for _, difference := range differences {
		delete(v.inForce, difference.Key)
		if difference.InForce != nil && difference.Kind.IsConfiguration() {
			v.inForce[difference.Key] = *difference.InForce
		}
	}
}
