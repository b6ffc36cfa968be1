package pgstand

import "robincart/internal/lab/traffic"

// Counts is what the server has been asked since its start, as a scale test wants to know it.
type Counts struct {
	traffic.Counts
	Statements int
	Notices    int // notifications sent
	Commits    int
}

// Counts tells them.
func (s *Server) Counts() Counts {
	t := s.ln.Counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Counts, c.Commits = t, s.Commits
	return c
}
