package pgstand

// CommitFault is what becomes of a commit.
type CommitFault int

// What can become of a commit.
const (
	commitNormal  CommitFault = iota
	CommitThenCut             // it is done, and the connection ends before the answer
	CutInstead                // it is not done, and the connection ends before the answer
)

// faults are the faults that were ordered. They are guarded by the server's mutex.
type faults struct {
	refuse      bool          // new connections
	resumed     chan struct{} // closed when statements go on; nil: they are not stalled
	commit      CommitFault
	commits     int    // transactions that the commit's fault still hits
	code        string // an error's
	errors      int    // statements that are still answered with the code
	statementIn int    // the statement from now on at which its connection is cut; 0: none
}

// statementFault is what becomes of one statement.
type statementFault struct {
	resumed <-chan struct{} // closed when it goes on; nil: it is not stalled
	cut     bool            // its connection is cut
	code    string          // of the error that it is answered with; empty: none
}

// Cut ends all connections.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		c.conn.Close()
	}
}

// Stall keeps every statement waiting, or ends that.
func (s *Server) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.faults.resumed == nil:
		s.faults.resumed = make(chan struct{})
	case !on && s.faults.resumed != nil:
		close(s.faults.resumed)
		s.faults.resumed = nil
	}
}

// Refuse answers new connections with "too many clients", or ends that.
func (s *Server) Refuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.refuse = on
}

// Commit sets what becomes of the next n commits of transactions that have written.
func (s *Server) Commit(fault CommitFault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.commit, s.faults.commits = fault, n
}

// Fail answers the next n statements with an error's code.
func (s *Server) Fail(code string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.code, s.faults.errors = code, n
}

// CutIn cuts the connection of the n-th statement from now on, in the middle of its transaction.
func (s *Server) CutIn(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.statementIn = n
}

// ClearFaults takes back every fault that has hit nothing yet.
func (s *Server) ClearFaults() {
	s.Stall(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults{}
}

// refuses returns whether new connections are refused.
func (s *Server) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.refuse
}

// nextStatement counts one more statement, and returns what becomes of it.
func (s *Server) nextStatement() statementFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Statements++
	fault := statementFault{resumed: s.faults.resumed}
	if s.faults.errors > 0 {
		s.faults.errors--
		fault.code = s.faults.code
	}
	if s.faults.statementIn > 0 {
		s.faults.statementIn--
		fault.cut = s.faults.statementIn == 0
	}
	return fault
}

// nextCommit returns what becomes of one more commit of a transaction that has written.
func (s *Server) nextCommit() CommitFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.commits <= 0 {
		return commitNormal
	}
	s.faults.commits--
	return s.faults.commit
}
