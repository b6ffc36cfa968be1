package pgstand

import "robincart/internal/lab/traffic"

// Counts are what the server has done and its connections have carried since its start.
type Counts struct {
	traffic.Counts
	Statements int
	Notices    int // notifications sent
	Commits    int // transactions that have written
}

// Counts returns the counts so far.
func (s *Server) Counts() Counts {
	connections := s.listener.Counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Counts, counts.Commits = connections, s.Commits
	return counts
}
