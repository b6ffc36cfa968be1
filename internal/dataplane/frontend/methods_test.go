package frontend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
)

// requestOf returns a request of the method "a" that is valid under the given idempotency setting.
func requestOf(i decide.Idempotency) *httpwire.Request {
	request := &httpwire.Request{Verb: "POST", Path: "/a", Method: "a", TraceID: "id", HasTimeLeft: true}
	switch i {
	case decide.Idempotent:
		request.Verb = "GET"
	case decide.Deduplicated:
		request.IdempotencyKey = "k"
	}
	return request
}

// serviceOf returns a service whose method "a" has the given idempotency.
func serviceOf(i decide.Idempotency) *Service {
	instance := &settings.Instance{MethodNames: []string{"a"}}
	instance.Methods = []decide.Method{{Idempotency: i}}
	return NewService("", instance, nil, nil, nil)
}

func statusOf(s *Service, i decide.Idempotency, now time.Duration) int {
	if _, _, response := s.check(requestOf(i), &limits.Limits{}, now); response != nil {
		return response.Status
	}
	return 200
}

// Clients learn of new settings later than the node. Until clients have learned of the new settings, the node accepts
// requests that are valid under the old or the new settings.
func TestKeepFormer_IdempotencyChanges(t *testing.T) {
	idempotencies := []decide.Idempotency{decide.Idempotent, decide.Deduplicated, decide.NonIdempotent}
	for _, old := range idempotencies {
		for _, current := range idempotencies {
			t.Run(fmt.Sprintf("%v to %v", old, current), func(t *testing.T) {
				checkIdempotencyChange(t, old, current)
			})
			for _, next := range idempotencies {
				t.Run(fmt.Sprintf("%v to %v to %v", old, current, next), func(t *testing.T) {
					checkTwoIdempotencyChanges(t, old, current, next)
				})
			}
		}
	}
}

const (
	changedAt  = time.Second
	validUntil = 4 * time.Second
)

func checkIdempotencyChange(t *testing.T, old, current decide.Idempotency) {
	statusWithoutFormer := statusOf(serviceOf(current), old, changedAt)
	service := serviceOf(current).KeepFormerSettings(serviceOf(old), changedAt, validUntil)
	assert.Equal(t, 200, statusOf(service, old, validUntil-1))
	assert.Equal(t, statusWithoutFormer, statusOf(service, old, validUntil), "the former idempotency has expired")
	assert.Equal(t, 200, statusOf(service, current, validUntil))

	next := serviceOf(current).KeepFormerSettings(service, changedAt, validUntil+1)
	assert.Equal(t, statusWithoutFormer, statusOf(next, old, validUntil), "an expired idempotency is not taken over")
}

// Settings change once more before clients have learned of the first change.
func checkTwoIdempotencyChanges(t *testing.T, old, current, next decide.Idempotency) {
	service := serviceOf(current).KeepFormerSettings(serviceOf(old), changedAt, validUntil)
	service = serviceOf(next).KeepFormerSettings(service, changedAt+1, validUntil+1)
	assert.Equal(t, 200, statusOf(service, old, validUntil-1))
	assert.Equal(t, 200, statusOf(service, current, validUntil))

	removed := &Service{methods: map[string]method{}, tenants: map[string]tenant{}}
	removed = removed.KeepFormerSettings(serviceOf(old), changedAt, validUntil)
	service = serviceOf(next).KeepFormerSettings(removed, changedAt+1, validUntil+1)
	assert.Equal(t, 200, statusOf(service, old, validUntil-1), "the method was removed in between")
}

func TestKeepFormer_TenantRemoved(t *testing.T) {
	serviceWith := func(tenants ...string) *Service {
		instance := &settings.Instance{MethodNames: []string{"a"}, TenantNames: tenants}
		instance.Methods = []decide.Method{{}}
		return NewService("", instance, nil, nil, nil)
	}
	request := requestOf(decide.Idempotent)
	request.Tenant = "old"
	service := serviceWith("new", "other").KeepFormerSettings(serviceWith("other", "old"), 1, 9)
	service = serviceWith("new").KeepFormerSettings(service, 2, 10)

	_, slot, response := service.check(request, &limits.Limits{}, 9)
	require.Nil(t, response)
	assert.Equal(t, 1, slot, "the tenant keeps its former slot")
	_, _, response = service.check(request, &limits.Limits{}, 10)
	assert.Equal(t, 400, response.Status)
}
