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
	picks   AttemptStarter
	share   Quota
	methods map[string]class
	tenants map[string]tenant

	mu     sync.Mutex
	open   int
	closed bool
	empty  chan struct{} // closed when closed is set and nothing is open
}

// NewService makes one; the share may be nil.
func NewService(name string, s *settings.Instance, core Core, picks AttemptStarter, share Quota) *Service {
	v := &Service{Name: name, core: core, picks: picks, share: share, methods: map[string]class{}, tenants: map[string]tenant{},
		empty: make(chan struct{})}
	for i, m := range s.MethodNames {
		if m != "" { // else a slot that another class has left
			v.methods[m] = class{slot: i, repeat: s.Methods[i].Idempotency, large: &atomic.Bool{}}
		}
	}
	for i, t := range s.TenantNames {
		if t != "" {
			v.tenants[t] = tenant{slot: i}
		}
	}
	return v
}

// class is a method as callers name it.
type class struct {
	slot   int
	repeat decide.Idempotency
	until  time.Duration // 0: for good
	former []form        // its effect was another: a request may come in that one's form, too, for a while
	large  *atomic.Bool  // its last answer was: its next one counts as large from the start
}

type form struct {
	repeat decide.Idempotency
	until  time.Duration
}

type tenant struct {
	slot  int
	until time.Duration // 0: for good
}

// misfit is the status of a request that does not have the form of an effect; 0: it has.
func misfit(r decide.Idempotency, q *httpwire.Request) int {
	switch {
	case q.Verb != verb(r):
		return 405
	case r == decide.Deduplicated && q.IdempotencyKey == "", r == decide.Idempotent && len(q.Body) > 0:
		return 400
	}
	return 0
}

func verb(r decide.Idempotency) string {
	if r == decide.Idempotent {
		return "GET"
	}
	return "POST"
}

// KeepFormer has the classes and tenants that another service took before taken until a time, and classes whose effect has changed
// in either form: callers hear of new settings later than the node does. What that one still took from settings before its own
// stays as long as it was to: settings may change again before callers have heard of the last.
func (v *Service) KeepFormer(before *Service, now, until time.Duration) *Service {
	for name, k := range before.methods {
		if k.until > 0 && now > k.until {
			continue // one that is over would else be handed on from settings to settings
		}
		last := until
		if k.until > 0 {
			last = k.until
		}
		is, stays := v.methods[name]
		if !stays {
			k.until = last
			v.methods[name] = k
			continue
		}
		for _, f := range k.former {
			if now < f.until {
				is.former = append(is.former, f)
			}
		}
		if k.repeat != is.repeat {
			is.former = append(is.former, form{k.repeat, last})
		}
		v.methods[name] = is
	}
	for name, t := range before.tenants {
		if _, stays := v.tenants[name]; stays || t.until > 0 && now > t.until {
			continue
		}
		if t.until == 0 {
			t.until = until
		}
		v.tenants[name] = t
	}
	return v
}

// enter counts a request in. A service that has left takes none: who holds an old table has to look into the new one.
func (v *Service) enter() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return false
	}
	v.open++
	return true
}

func (v *Service) leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.open--; v.closed && v.open == 0 {
		close(v.empty)
	}
}

// Close lets nothing more in. The channel is closed once all that was in has left.
func (v *Service) Close() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.closed {
		if v.closed = true; v.open == 0 {
			close(v.empty)
		}
	}
	return v.empty
}

// Table is one version of what is served.
type Table struct {
	Only *Service // all requests are its, whatever host and path they name
	// Find, where there are several, tells which service a request goes to, or the answer to one that goes to none.
	Find func(*httpwire.Request) (*Service, *httpwire.ClientResponse)
}

// find counts a request into its service.
func (f *Server) find(q *httpwire.Request) (*Service, *httpwire.ClientResponse) {
	for {
		t := f.table.Load()
		v := t.Only
		if t.Find != nil {
			var none *httpwire.ClientResponse
			if v, none = t.Find(q); none != nil {
				return nil, none
			}
		}
		if v.enter() {
			return v, nil
		}
	}
}

// ready answers who asks whether the node is ready.
func (f *Server) ready(q *httpwire.Request) *httpwire.ClientResponse {
	switch {
	case q.Verb != "GET" && q.Verb != "HEAD":
		return &httpwire.ClientResponse{Status: 405, Allow: "GET"}
	case f.closing():
		return &httpwire.ClientResponse{Status: 503}
	}
	return &httpwire.ClientResponse{Status: 200}
}

// check finds what a request asks for, or the answer to one that can't be taken. None of those answers is 429
// or 503: they would promise that asking the same again helps.
func (v *Service) check(q *httpwire.Request, l *limits.Limits, now time.Duration) (k class, tenant int, bad *httpwire.ClientResponse) {
	first, _, _ := strings.Cut(strings.TrimPrefix(q.Path, "/"), "/")
	k, known := v.methods[first]
	if !known || k.until > 0 && now > k.until {
		return k, 0, &httpwire.ClientResponse{Status: 404}
	}
	t, paying := v.tenants[q.Tenant]
	paying = paying && (t.until == 0 || now <= t.until)
	wrong := misfit(k.repeat, q)
	if slices.ContainsFunc(k.former, func(f form) bool { return now < f.until && misfit(f.repeat, q) == 0 }) {
		wrong = 0
	}
	switch {
	case wrong == 405:
		return k, 0, &httpwire.ClientResponse{Status: 405, Allow: verb(k.repeat)}
	case wrong != 0, q.Method != first, q.TraceID == "", !q.HasTimeLeft, q.TimeLeft > l.MaxTimeLeft, len(v.tenants) > 0 && !paying:
		return k, 0, &httpwire.ClientResponse{Status: 400}
	}
	return k, t.slot, nil
}
