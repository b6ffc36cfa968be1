// Package registry follows the list of servers at discovery.
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

// List is one message of discovery: the whole list, or the entries that changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`

	err  error  // why it can't be read
	text []byte // as it came, then
}

// UnmarshalJSON never fails: one bad entry must not cost the others.
func (m *member) UnmarshalJSON(text []byte) error {
	type fields member
	if m.err = json.Unmarshal(text, (*fields)(m)); m.err != nil {
		m.text = bytes.Clone(text[:min(len(text), maxLoggedBytes)])
	}
	return nil
}

var phases = map[string]decide.State{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

// MaxMembers is how many entries a message may have, and a service servers. A fleet of the target's size has 440 in all; who
// claims more than this has lost count, and each would cost the node a record.
const MaxMembers = 20_000

// maxSkippedLogged is how many skipped entries of one message are logged each; of the rest only the number is.
const maxSkippedLogged = 10

// maxLoggedBytes is how much of a skipped entry is logged.
const maxLoggedBytes = 1000

// Parse reads one message.
func Parse(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	if len(l.Members) > MaxMembers {
		return nil, &EntryLimitError{Entries: len(l.Members)}
	}
	if l.Revision < 0 {
		return nil, &MalformedError{Cause: fmt.Errorf("revision %d", l.Revision)}
	}
	if !l.Complete {
		return l, nil
	}
	if err := l.conflict(); err != nil {
		return nil, err
	}
	return l, nil
}

// conflict finds a server that a whole list names in two phases. Changes may: each tells of what followed the one before.
func (l *List) conflict() error {
	phaseOf := make(map[string]string, len(l.Members))
	for _, m := range l.Members {
		if phase, named := phaseOf[m.ID]; named && phase != m.Phase && m.err == nil {
			return &ConflictError{ID: m.ID, FirstPhase: phase, SecondPhase: m.Phase}
		}
		if m.err == nil && m.ID != "" {
			phaseOf[m.ID] = m.Phase
		}
	}
	return nil
}

// Entries turns a message into the core's words. A line that can't be used is left out and told: one bad line
// must not cost the others.
func (l *List) Entries(zones []string, log *zap.Logger) []node.Endpoint {
	out := make([]node.Endpoint, 0, len(l.Members))
	skipped := 0
	for i := range l.Members {
		m := &l.Members[i]
		state, err := m.state()
		if err != nil {
			if skipped++; skipped <= maxSkippedLogged {
				log.Warn("skipped an entry of the server list", m.logged(), zap.Error(err))
			}
			continue
		}
		e := node.Endpoint{ID: m.ID, Addr: m.HostPort, State: state, Zone: slices.Index(zones, m.Locality),
			Cell: m.Cell, Weight: m.Size, Revision: l.Revision}
		if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
			e.Weight = 1
		}
		if m.UpSince > 0 && m.UpSince < 1e15 {
			e.StartedAt = time.UnixMilli(int64(m.UpSince))
		}
		out = append(out, e)
	}
	if skipped > maxSkippedLogged {
		log.Warn("skipped entries of the server list", zap.Int("all", skipped), zap.Int("of", len(l.Members)))
	}
	return out
}

// logged is the entry as the log shows it.
func (m *member) logged() zap.Field {
	text := m.text
	if m.err == nil {
		text, _ = json.Marshal(m)
	}
	return zap.ByteString("entry", text[:min(len(text), maxLoggedBytes)])
}

// state is what the entry says of its server, or why it can't be used.
func (m *member) state() (decide.State, error) {
	if m.err != nil {
		return 0, m.err
	}
	state, known := phases[m.Phase]
	switch {
	case m.ID == "":
		return 0, errors.New("no id")
	case !known:
		return 0, fmt.Errorf("phase %q", m.Phase)
	case state == decide.Gone:
		return state, nil // nobody goes there any more
	}
	return state, checkAddress(m.HostPort)
}

func checkAddress(hostPort string) error {
	host, port, err := net.SplitHostPort(hostPort)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("address: %q is no IP", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("address: %q is no port", port)
	}
	return nil
}
