package replica

import (
	"encoding/json"
	"fmt"

	"robincart/internal/record/record"
)

// serverEntry returns a stored server.
func serverEntry(name string, revision int64, value string) record.Entry {
	return record.Entry{
		Key:            record.Key{Kind: record.KindServer, Name: name},
		Revision:       revision,
		IdempotencyKey: fmt.Sprint("m", revision),
		Value:          json.RawMessage(value),
	}
}

// observe returns a change that records a server in a phase, as listed in the endpoint list with the revision
// listRevision.
func observe(name, phase string, listRevision int) record.Change {
	value := fmt.Sprintf(`{"addr":"10.0.0.1:80","phase":%q,"start_ms":5,"listed":%d}`, phase, listRevision)
	return record.Change{
		Key:              record.Key{Kind: record.KindServer, Name: name},
		ExpectedRevision: record.AnyRevision,
		Writer:           "n",
		IdempotencyKey:   fmt.Sprint(name, phase, listRevision),
		Value:            json.RawMessage(value),
	}
}

// drain returns a change that records a drain.
func drain(name string) record.Change {
	return record.Change{
		Key:              record.Key{Kind: record.KindDrain, Name: name},
		ExpectedRevision: record.AnyRevision,
		Writer:           "n",
		IdempotencyKey:   "m",
		Value:            json.RawMessage(`{"start_ms":1,"since_ms":1,"by":"discovery"}`),
	}
}
