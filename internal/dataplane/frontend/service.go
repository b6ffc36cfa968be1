package frontend

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robincart/decide"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
)

// Quota is a service's part of what services share. A nil one has no bounds.
type Quota interface {
	// Acquire asks for a request's part; it is refused with the time after which to come again.
	Acquire(tenant, body int) (lease Lease, wait time.Duration, ok bool)
}

// Lease is what a request holds of its service's part.
type Lease interface {
	// Revoked is closed when the request has to end at once.
	Revoked() <-chan struct{}
	Release()
}

// Service is one pool as the door sees it: what its callers may ask for, and the core and the picks that serve them. It
// knows nothing of other services.
type Service struct {
	Name string

	core    Core
	attempts   AttemptStarter
	quota   Quota
	methods map[string]method
	tenants map[string]tenant

	mu     sync.Mutex
	open   int
	closed bool
	drained  chan struct{} // closed when closed is set and nothing is open
}

// NewService makes one; the share may be nil.
func NewService(name string, s *settings.Instance, core Core, picks AttemptStarter, share Quota) *Service {
	v := &Service{Name: name, core: core, attempts: picks, quota: share, methods: map[string]method{}, tenants: map[string]tenant{},
		drained: make(chan struct{})}
	for i, m := range s.MethodNames {
		if m != "" { // else a slot that another class has left
			v.methods[m] = method{slot: i, idempotency: s.Methods[i].Idempotency, streamed: &atomic.Bool{}}
		}
	}
	for i, t := range s.TenantNames {
		if t != "" {
			v.tenants[t] = tenant{slot: i}
		}
	}
	return v
}

// method is a method as callers name it.
type method struct {
	slot   int
	idempotency decide.Idempotency
	validUntil  time.Duration // 0: for good
	formerSemantics []formerIdempotency        // its effect was another: a request may come in that one's form, too, for a while
	streamed  *atomic.Bool  // its last answer was: its next one counts as large from the start
}

type formerIdempotency struct {
	idempotency decide.Idempotency
	validUntil  time.Duration
}

type tenant struct {
	slot  int
	validUntil time.Duration // 0: for good
}

// statusOfMismatch is the status of a request that does not have the form of an effect; 0: it has.
func statusOfMismatch(r decide.Idempotency, q *httpwire.Request) int {
	switch {
	case q.Verb != verbOf(r):
		return 405
	case r == decide.Deduplicated && q.IdempotencyKey == "", r == decide.Idempotent && len(q.Body) > 0:
		return 400
	}
	return 0
}

func verbOf(r decide.Idempotency) string {
	if r == decide.Idempotent {
		return "GET"
	}
	return "POST"
}

// KeepFormer has the classes and tenants that another service took before taken until a time, and classes whose effect has changed
// in either form: callers hear of new settings later than the node does. What that one still took from settings before its own
// stays as long as it was to: settings may change again before callers have heard of the last.
func (s *Service) KeepFormer(before *Service, now, until time.Duration) *Service {
	for name, k := range before.methods {
		if k.validUntil > 0 && now > k.validUntil {
			continue // one that is over would else be handed on from settings to settings
		}
		last := until
		if k.validUntil > 0 {
			last = k.validUntil
		}
		is, stays := s.methods[name]
		if !stays {
			k.validUntil = last
			s.methods[name] = k
			continue
		}
		for _, f := range k.formerSemantics {
			if now < f.validUntil {
				is.formerSemantics = append(is.formerSemantics, f)
			}
		}
		if k.idempotency != is.idempotency {
			is.formerSemantics = append(is.formerSemantics, formerIdempotency{k.idempotency, last})
		}
		s.methods[name] = is
	}
	for name, t := range before.tenants {
		if _, stays := s.tenants[name]; stays || t.validUntil > 0 && now > t.validUntil {
			continue
		}
		if t.validUntil == 0 {
			t.validUntil = until
		}
		s.tenants[name] = t
	}
	return s
}

// acquire counts a request in. A service that has left takes none: who holds an old table has to look into the new one.
func (s *Service) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open++
	return true
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open--; s.closed && s.open == 0 {
		close(s.drained)
	}
}

// Close lets nothing more in. The channel is closed once all that was in has left.
func (s *Service) Close() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		if s.closed = true; s.open == 0 {
			close(s.drained)
		}
	}
	return s.drained
}

// Table is one version of what is served.
type Table struct {
	Only *Service // all requests are its, whatever host and path they name
	// Find, where there are several, tells which service a request goes to, or the answer to one that goes to none.
	Find func(*httpwire.Request) (*Service, *httpwire.ClientResponse)
}

// findService counts a request into its service.
func (s *Server) findService(q *httpwire.Request) (*Service, *httpwire.ClientResponse) {
	for {
		t := s.table.Load()
		v := t.Only
		if t.Find != nil {
			var none *httpwire.ClientResponse
			if v, none = t.Find(q); none != nil {
				return nil, none
			}
		}
		if v.acquire() {
			return v, nil
		}
	}
}

// readiness answers who asks whether the node is ready.
func (s *Server) readiness(q *httpwire.Request) *httpwire.ClientResponse {
	switch {
	case q.Verb != "GET" && q.Verb != "HEAD":
		return &httpwire.ClientResponse{Status: 405, Allow: "GET"}
	case s.closesConns():
		return &httpwire.ClientResponse{Status: 503}
	}
	return &httpwire.ClientResponse{Status: 200}
}

// check finds what a request asks for, or the answer to one that can't be taken. None of those answers is 429
// or 503: they would promise that asking the same again helps.
func (s *Service) check(q *httpwire.Request, l *limits.Limits, now time.Duration) (k method, tenant int, bad *httpwire.ClientResponse) {
	first, _, _ := strings.Cut(strings.TrimPrefix(q.Path, "/"), "/")
	k, known := s.methods[first]
	if !known || k.validUntil > 0 && now > k.validUntil {
		return k, 0, &httpwire.ClientResponse{Status: 404}
	}
	t, paying := s.tenants[q.Tenant]
	paying = paying && (t.validUntil == 0 || now <= t.validUntil)
	wrong := statusOfMismatch(k.idempotency, q)
	if slices.ContainsFunc(k.formerSemantics, func(f formerIdempotency) bool { return now < f.validUntil && statusOfMismatch(f.idempotency, q) == 0 }) {
		wrong = 0
	}
	switch {
	case wrong == 405:
		return k, 0, &httpwire.ClientResponse{Status: 405, Allow: verbOf(k.idempotency)}
	case wrong != 0, q.Method != first, q.TraceID == "", !q.HasTimeLeft, q.TimeLeft > l.MaxTimeLeft, len(s.tenants) > 0 && !paying:
		return k, 0, &httpwire.ClientResponse{Status: 400}
	}
	return k, t.slot, nil
}
