package frontend

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"robincart/decide"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
)

// method is a method that requests may name.
type method struct {
	slot        int // in the settings
	idempotency decide.Idempotency
	validUntil  time.Duration // 0: for good
	former      []formerIdempotency
	streamed    *atomic.Bool // the last response was: the next request counts as streamed from its start
}

// formerIdempotency is one that a method had before: requests may still have the form that it requires.
type formerIdempotency struct {
	idempotency decide.Idempotency
	validUntil  time.Duration
}

// tenant is a tenant that requests may name.
type tenant struct {
	slot       int           // in the settings
	validUntil time.Duration // 0: for good
}

func newMethods(instance *settings.Instance) map[string]method {
	methods := map[string]method{}
	for i, name := range instance.MethodNames {
		if name != "" { // else a slot that a removed method has left
			methods[name] = method{
				slot:        i,
				idempotency: instance.Methods[i].Idempotency,
				streamed:    &atomic.Bool{},
			}
		}
	}
	return methods
}

func newTenants(instance *settings.Instance) map[string]tenant {
	tenants := map[string]tenant{}
	for i, name := range instance.TenantNames {
		if name != "" {
			tenants[name] = tenant{slot: i}
		}
	}
	return tenants
}

// alwaysIdempotent reports whether a request of the method may be repeated, whatever settings its client goes by.
func (m *method) alwaysIdempotent() bool {
	return m.idempotency == decide.Idempotent && len(m.former) == 0
}

// accepts reports whether the method is in force at a time.
func (m *method) accepts(now time.Duration) bool { return m.validUntil == 0 || now <= m.validUntil }

func (t *tenant) accepts(now time.Duration) bool { return t.validUntil == 0 || now <= t.validUntil }

// keepFormerMethods adds the methods that were accepted before. What is over is not handed on from settings to
// settings.
func (s *Service) keepFormerMethods(before map[string]method, now, until time.Duration) {
	for name, formerMethod := range before {
		if !formerMethod.accepts(now) {
			continue
		}
		validUntil := until
		if formerMethod.validUntil > 0 {
			validUntil = formerMethod.validUntil
		}
		current, ok := s.methods[name]
		if !ok {
			formerMethod.validUntil = validUntil
			s.methods[name] = formerMethod
			continue
		}
		for _, former := range formerMethod.former {
			if now < former.validUntil {
				current.former = append(current.former, former)
			}
		}
		if formerMethod.idempotency != current.idempotency {
			current.former = append(current.former, formerIdempotency{formerMethod.idempotency, validUntil})
		}
		s.methods[name] = current
	}
}

func (s *Service) keepFormerTenants(before map[string]tenant, now, until time.Duration) {
	for name, former := range before {
		if _, ok := s.tenants[name]; ok || !former.accepts(now) {
			continue
		}
		if former.validUntil == 0 {
			former.validUntil = until
		}
		s.tenants[name] = former
	}
}

// check finds the method and the tenant's slot that a request names, or the response to one that can't be accepted.
// That is never 429 or 503, which would promise that repeating it helps.
func (s *Service) check(
	request *httpwire.Request, l *limits.Limits, now time.Duration,
) (method, int, *httpwire.ClientResponse) {
	name, _, _ := strings.Cut(strings.TrimPrefix(request.Path, "/"), "/")
	m, ok := s.methods[name]
	if !ok || !m.accepts(now) {
		return m, 0, &httpwire.ClientResponse{Status: 404}
	}
	switch m.checkForm(request, now) {
	case 0:
	case 405:
		return m, 0, &httpwire.ClientResponse{Status: 405, Allow: verbOf(m.idempotency)}
	default:
		return m, 0, &httpwire.ClientResponse{Status: 400}
	}
	slot, ok := s.tenantSlot(request.Tenant, now)
	if !ok || request.Method != name || request.TraceID == "" || !hasValidTimeLeft(request, l) {
		return m, 0, &httpwire.ClientResponse{Status: 400}
	}
	return m, slot, nil
}

// tenantSlot returns the slot of a tenant. A service without tenants accepts any name.
func (s *Service) tenantSlot(name string, now time.Duration) (int, bool) {
	t, ok := s.tenants[name]
	if ok && t.accepts(now) {
		return t.slot, true
	}
	return t.slot, len(s.tenants) == 0
}

func hasValidTimeLeft(request *httpwire.Request, l *limits.Limits) bool {
	return request.HasTimeLeft && request.TimeLeft <= l.MaxTimeLeft
}

// checkForm returns the status of the response to a request that does not have the form of the method, now or
// formerly; 0: it has.
func (m *method) checkForm(request *httpwire.Request, now time.Duration) int {
	fitsFormer := func(f formerIdempotency) bool {
		return now < f.validUntil && checkIdempotency(f.idempotency, request) == 0
	}
	if slices.ContainsFunc(m.former, fitsFormer) {
		return 0
	}
	return checkIdempotency(m.idempotency, request)
}

// checkIdempotency returns the status of the response to a request that does not have the form of an idempotency; 0:
// it has.
func checkIdempotency(i decide.Idempotency, request *httpwire.Request) int {
	switch {
	case request.Verb != verbOf(i):
		return 405
	case i == decide.Deduplicated && request.IdempotencyKey == "":
		return 400
	case i == decide.Idempotent && len(request.Body) > 0:
		return 400
	}
	return 0
}

func verbOf(i decide.Idempotency) string {
	if i == decide.Idempotent {
		return "GET"
	}
	return "POST"
}
