package frontend

import (
	"slices"
	"strings"
	"time"

	"robincart/decide"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
)

// method is a method that requests may name.
type method struct {
	slot        int // index in the settings
	idempotency decide.Idempotency
	validUntil  time.Duration // 0: unlimited
	former      []formerIdempotency
}

// formerIdempotency is an earlier idempotency setting of a method. A request that is valid under this earlier setting
// is still accepted until the time validUntil.
type formerIdempotency struct {
	idempotency decide.Idempotency
	validUntil  time.Duration
}

// tenant is a tenant that requests may name.
type tenant struct {
	slot       int           // index in the settings
	validUntil time.Duration // 0: unlimited
}

func newMethods(instance *settings.Instance) map[string]method {
	methods := map[string]method{}
	for i, name := range instance.MethodNames {
		if name != "" { // an empty name marks the slot of a removed method
			methods[name] = method{
				slot:        i,
				idempotency: instance.Methods[i].Idempotency,
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

// alwaysIdempotent reports whether the method is idempotent in the current settings and in all former settings that
// clients may still use. If it is, any request of the method may be retried.
func (m *method) alwaysIdempotent() bool {
	return m.idempotency == decide.Idempotent && len(m.former) == 0
}

// validAt reports whether requests may name the method at the time now.
func (m *method) validAt(now time.Duration) bool { return m.validUntil == 0 || now <= m.validUntil }

func (t *tenant) validAt(now time.Duration) bool { return t.validUntil == 0 || now <= t.validUntil }

// keepFormerMethods makes the service also accept the methods of the previous version of the service, and the
// idempotency settings that these methods had. It leaves out methods and idempotency settings that have expired.
func (s *Service) keepFormerMethods(before map[string]method, now, until time.Duration) {
	for name, formerMethod := range before {
		if !formerMethod.validAt(now) {
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
		if _, ok := s.tenants[name]; ok || !former.validAt(now) {
			continue
		}
		if former.validUntil == 0 {
			former.validUntil = until
		}
		s.tenants[name] = former
	}
}

// check returns the method that a request names and the slot of the tenant that the request names, or the response that
// rejects the request. The status of this response is never 429 or 503, because these would tell the client that a
// retry may succeed.
func (s *Service) check(
	request *httpwire.Request, l *limits.Limits, now time.Duration,
) (method, int, *httpwire.ClientResponse) {
	name, _, _ := strings.Cut(strings.TrimPrefix(request.Path, "/"), "/")
	m, ok := s.methods[name]
	if !ok || !m.validAt(now) {
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

// tenantSlot returns the slot of a tenant. A service without tenants accepts any tenant name.
func (s *Service) tenantSlot(name string, now time.Duration) (int, bool) {
	t, ok := s.tenants[name]
	if ok && t.validAt(now) {
		return t.slot, true
	}
	return t.slot, len(s.tenants) == 0
}

func hasValidTimeLeft(request *httpwire.Request, l *limits.Limits) bool {
	return request.HasTimeLeft && request.TimeLeft <= l.MaxTimeLeft
}

// checkForm returns 0 if the request's verb, key and body are valid under the method's current idempotency setting, or
// under an earlier setting that has not expired. Otherwise it returns the status code to reject the request with.
func (m *method) checkForm(request *httpwire.Request, now time.Duration) int {
	fitsFormer := func(f formerIdempotency) bool {
		return now < f.validUntil && checkIdempotency(f.idempotency, request) == 0
	}
	if slices.ContainsFunc(m.former, fitsFormer) {
		return 0
	}
	return checkIdempotency(m.idempotency, request)
}

// checkIdempotency returns 0 if the request's verb, key and body are valid under the given idempotency setting.
// Otherwise it returns the status code to reject the request with.
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
