package standin

import "time"

// Fault is what a server does wrong.
type Fault int32

// The faults of a server.
const (
	NoFault          Fault = iota
	Silent                 // takes requests and never responds
	Fail                   // responds 500 at once
	ResetBefore            // resets the connection at the request's first bytes
	ResetAfter             // resets it after the request's last byte
	ResetMidResponse       // resets it in the middle of its response
	Malformed              // sends a malformed response
)

// Faults are the faults by their names in experiment files.
var Faults = map[string]Fault{
	"silent":       Silent,
	"fail":         Fail,
	"reset-before": ResetBefore,
	"reset-after":  ResetAfter,
	"die-mid":      ResetMidResponse,
	"spoil":        Malformed,
}

// Shares and factors are stored as whole numbers of these parts.
const (
	thousand = 1_000
	million  = 1_000_000
)

// Fault sets what it does wrong with a share of its requests.
func (s *Server) Fault(fault Fault, share float64) {
	s.faultShare.Store(int64(share * million))
	s.fault.Store(int32(fault))
}

// Slow makes its work take that many times as long.
func (s *Server) Slow(factor float64) { s.slowdown.Store(int64(factor * thousand)) }

// Freeze stops everything in it, as SIGSTOP would; the kernel goes on accepting connections and bytes.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.thawed == nil:
		s.thawed = make(chan struct{})
	case !on && s.thawed != nil:
		close(s.thawed)
		s.thawed = nil
	}
}

// awaitThaw waits until the server is not frozen.
func (s *Server) awaitThaw() {
	for {
		s.mu.Lock()
		thawed := s.thawed
		s.mu.Unlock()
		if thawed == nil {
			return
		}
		<-thawed
	}
}

// Drain makes it reject the requests received after a moment; zero ends that.
func (s *Server) Drain(from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainAt = from
}

// draining returns whether a request received at a moment is rejected.
func (s *Server) draining(receivedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drainAt.IsZero() && receivedAt.After(s.drainAt)
}

// faultHits returns whether the fault hits one more request. It hits every so many, so that the share is exact.
func (s *Server) faultHits() bool {
	share := s.faultShare.Load()
	n := s.faultChances.Add(1)
	return n*share/million > (n-1)*share/million
}

// requestFault is the fault that hits one more request.
func (s *Server) requestFault() Fault {
	fault := Fault(s.fault.Load())
	if fault == NoFault || !s.faultHits() {
		return NoFault
	}
	return fault
}
