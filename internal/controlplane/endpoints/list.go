package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
)

const (
	// MaxMembers is the largest number of entries in a message, and the largest number of servers of a service. A fleet
	// of the target size has 440 servers in total. A longer list is a mistake in discovery, and each of its entries
	// would take memory.
	MaxMembers = 20_000

	// maxSkippedLogged is the largest number of skipped entries of one message that are logged one by one. If more
	// entries are skipped, a further log line has the number of all skipped entries.
	maxSkippedLogged = 10

	// maxLoggedBytes is the length, in bytes, to which a skipped entry is cut in the log.
	maxLoggedBytes = 1000

	maxPort = 65535

	// maxStartMillis is the upper bound of plausible start times, in milliseconds of Unix time: some 30,000 years from
	// now. A later start time is ignored.
	maxStartMillis = 1e15
)

var phases = map[string]decide.State{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

// List is one message from discovery: a snapshot, which has all entries, or a delta, which has only the entries that
// changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"` // true: a snapshot; false: a delta
	Members  []member `json:"members"`
}

// member is one entry of a message.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`

	err  error  // the decoding error; nil: the entry was decoded
	text []byte // the first bytes of an entry that can't be decoded
}

// UnmarshalJSON never returns an error, so that a malformed entry does not prevent the decoding of the other entries.
// The error is stored in the field err.
func (m *member) UnmarshalJSON(text []byte) error {
	type fields member
	m.err = json.Unmarshal(text, (*fields)(m))
	if m.err != nil {
		m.text = bytes.Clone(text[:min(len(text), maxLoggedBytes)])
	}
	return nil
}

// Parse decodes one message. It returns an error only if the message as a whole can't be used. A single entry that
// can't be used is skipped later, by Endpoints.
func Parse(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	if len(l.Members) > MaxMembers {
		return nil, &EntryLimitError{Entries: len(l.Members)}
	}
	if l.Revision < 0 {
		return nil, &MalformedError{Cause: fmt.Errorf("found revision %d, expected 0 or more", l.Revision)}
	}
	if l.Complete {
		if err := l.checkPhases(); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// checkPhases returns a ConflictError if a snapshot lists one server in two phases. A delta may list a server in
// several phases, since its entries are successive changes.
func (l *List) checkPhases() error {
	phaseOf := make(map[string]string, len(l.Members))
	for _, m := range l.Members {
		if m.err != nil {
			continue
		}
		if phase, listed := phaseOf[m.ID]; listed && phase != m.Phase {
			return &ConflictError{ID: m.ID, FirstPhase: phase, SecondPhase: m.Phase}
		}
		if m.ID != "" {
			phaseOf[m.ID] = m.Phase
		}
	}
	return nil
}

// Endpoints converts a message into the core's endpoints. Entries that can't be used are skipped and logged.
func (l *List) Endpoints(zones []string, log *zap.Logger) []node.Endpoint {
	out := make([]node.Endpoint, 0, len(l.Members))
	skipped := 0
	for i := range l.Members {
		m := &l.Members[i]
		state, err := m.state()
		if err == nil {
			out = append(out, m.endpoint(state, zones, l.Revision))
			continue
		}
		skipped++
		if skipped <= maxSkippedLogged {
			log.Warn("endpoint entry skipped", m.logField(), zap.Error(err))
		}
	}
	if skipped > maxSkippedLogged {
		log.Warn("endpoint entries skipped", zap.Int("skipped", skipped), zap.Int("total", len(l.Members)))
	}
	return out
}

// endpoint converts an entry whose state is valid.
func (m *member) endpoint(state decide.State, zones []string, revision int64) node.Endpoint {
	e := node.Endpoint{
		ID:       m.ID,
		Addr:     m.HostPort,
		State:    state,
		Zone:     slices.Index(zones, m.Locality),
		Cell:     m.Cell,
		Weight:   m.Size,
		Revision: revision,
	}
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1
	}
	if m.UpSince > 0 && m.UpSince < maxStartMillis {
		e.StartedAt = time.UnixMilli(int64(m.UpSince))
	}
	return e
}

// logField returns the log field for a skipped entry: the received text of an entry that can't be decoded, or else the
// decoded fields as JSON.
func (m *member) logField() zap.Field {
	text := m.text
	if m.err == nil {
		text, _ = json.Marshal(m)
	}
	return zap.ByteString("entry", text[:min(len(text), maxLoggedBytes)])
}

// state returns the server's state, or an error if the entry can't be used.
func (m *member) state() (decide.State, error) {
	if m.err != nil {
		return 0, m.err
	}
	state, known := phases[m.Phase]
	switch {
	case m.ID == "":
		return 0, errors.New("id: found none, expected the server's id")
	case !known:
		return 0, fmt.Errorf("phase: found %q, expected ready, draining or gone", m.Phase)
	case state == decide.Gone:
		return state, nil // a server that is gone gets no requests, so its address is not checked
	}
	return state, checkAddress(m.HostPort)
}

func checkAddress(hostPort string) error {
	host, port, err := net.SplitHostPort(hostPort)
	if err != nil {
		return fmt.Errorf("host_port: expected an IP address and a port: %w", err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("host_port: found host %q, expected an IP address", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > maxPort {
		return fmt.Errorf("host_port: found port %q, expected a number from 1 to %d", port, maxPort)
	}
	return nil
}
