package frontend

import (
	"sync"
	"time"

	"robincart/internal/protocol/settings"
)

// Quota is a service's share of the resources that all services use.
type Quota interface {
	// Acquire returns a lease for a request. tenant is the slot of the request's tenant, and body is the size of the
	// request's body in bytes. If ok is false, no lease was granted, and the client may retry after the duration wait.
	Acquire(tenant, body int) (lease Lease, wait time.Duration, ok bool)
}

// Lease is the part of a service's quota that one request holds.
type Lease interface {
	// Revoked returns a channel that is closed when the request must end at once.
	Revoked() <-chan struct{}
	Release()
}

// Service is a service as its clients see it: the methods and tenants that requests may name, and the core that decides
// on the requests. It does not know other services.
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

// KeepFormerSettings makes the service also accept the methods and tenants that the previous version of the service
// accepted. These former methods and tenants expire at the time that the parameter until gives. If the idempotency
// setting of a method has changed, a request may be valid under the old or the new setting. Former settings are kept
// because clients learn of new settings later than the node.
//
// If the previous version itself still accepted methods, tenants or idempotency settings from earlier versions, the
// service also accepts these, and their expiry times stay the same. This is needed because settings may change again
// before clients have learned of the last change.
func (s *Service) KeepFormerSettings(before *Service, now, until time.Duration) *Service {
	s.keepFormerMethods(before.methods, now, until)
	s.keepFormerTenants(before.tenants, now, until)
	return s
}

// acquire counts a request as active. It returns false if the service is closed. In that case the caller must look the
// service up in the new table.
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

// Close makes the service accept no further request. The channel that it returns is closed when no request is active.
func (s *Service) Close() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.closeIfDrained()
	}
	return s.drained
}

// closeIfDrained closes the channel drained if the service is closed and no request is active. The caller must hold
// s.mu.
func (s *Service) closeIfDrained() {
	if s.closed && s.active == 0 {
		close(s.drained)
	}
}
