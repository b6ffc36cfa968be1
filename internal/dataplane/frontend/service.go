package frontend

import (
	"sync"
	"time"

	"robincart/internal/protocol/settings"
)

// Quota is a service's part of what services share.
type Quota interface {
	// Acquire takes a request's part, or returns the time after which to try again.
	Acquire(tenant, body int) (lease Lease, wait time.Duration, ok bool)
}

// Lease is what a request holds of its service's quota.
type Lease interface {
	// Revoked is closed when the request has to end at once.
	Revoked() <-chan struct{}
	Release()
}

// Service is one service as its clients see it: the methods and tenants that requests may name, and the core that
// decides on them. It knows nothing of other services.
type Service struct {
	Name string

	core     Core
	attempts AttemptStarter
	quota    Quota // nil: without limits
	methods  map[string]method
	tenants  map[string]tenant

	mu      sync.Mutex
	active  int // requests that were routed here and have not ended
	closed  bool
	drained chan struct{} // closed when the service is closed and no request is active
}

// NewService returns a service with the methods and tenants of its settings; the quota may be nil.
func NewService(
	name string, instance *settings.Instance, core Core, attempts AttemptStarter, quota Quota,
) *Service {
	s := &Service{
		Name:     name,
		core:     core,
		attempts: attempts,
		quota:    quota,
		methods:  newMethods(instance),
		tenants:  newTenants(instance),
		drained:  make(chan struct{}),
	}
	return s
}

// KeepFormerSettings has the service accept, until a time, the methods and tenants that another service accepted before
// it, and in either form the methods whose idempotency has changed: clients learn of new settings later than the node.
// What that service still accepted from the settings before its own is accepted for as long as there: settings may
// change again before clients know of the last change.
func (s *Service) KeepFormerSettings(before *Service, now, until time.Duration) *Service {
	s.keepFormerMethods(before.methods, now, until)
	s.keepFormerTenants(before.tenants, now, until)
	return s
}

// acquire counts a request as active. It returns false if the service is closed: whoever has an old table has to look
// into the new one.
func (s *Service) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.active++
	return true
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.closeIfDrained()
}

// Close has the service accept no further request. The channel that it returns is closed when none is active.
func (s *Service) Close() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.closeIfDrained()
	}
	return s.drained
}

// closeIfDrained closes the channel when the last request of a closed service has ended. The mutex is held.
func (s *Service) closeIfDrained() {
	if s.closed && s.active == 0 {
		close(s.drained)
	}
}
