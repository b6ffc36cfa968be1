package decide

// Server is one server of the tier below. One that has gone and has nothing in flight is forgotten.
type Server struct {
	HostData any // the host's own
	serverState
}

// serverState is what the Balancer knows of a server. Times are in seconds.
type serverState struct {
	state        State
	zone, cell   int
	weight       float64
	startedAt    float64 // 0: long ago
	listVersion  int     // the last watch event that listed it
	inSubset     bool
	inFlight     []*Attempt // oldest first
	lastAnswerAt float64
	entries      []qEntry // of the Q-table, by row; nil: the server is not known
	pace         pace
	load         serverLoad
	outlier      outlierState
	slowStart    slowStartBudget
	connections  serverConnections
}

// RPC is one request that the instance has taken and owes an answer. Times are in seconds.
type RPC struct {
	Method      int // slot of Settings.Methods
	Tenant      int // slot of Settings.Tenants
	Deadline    float64
	WorkHint    float64 // a rough hint of its cost in any unit; 0: none
	Retry       bool    // the client marked it as a retry
	BodyPending bool    // its body is still being received and streamed to its server: see Balancer.BodyReceived
	HostData    any     // the host's own
	rpcState
}

// rpcState is what the Balancer knows of an RPC. Times are in seconds.
type rpcState struct {
	rules           *methodRules
	open            bool // it has not ended
	streaming       bool // its answer has begun
	clockStart      float64
	usefulUntil     float64 // an answer after it is worth nothing
	admissionShare  float64 // the part of the limit, and of the time left, that it may use
	extraWork       float64 // its work beyond the method's mean, as a part of that
	attempts        []*Attempt
	inFlight        int      // attempts
	firstMayHaveRun *Attempt // the first attempt that may have had an effect
}

// Attempt is one attempt of an RPC at a server.
type Attempt struct {
	RPC      *RPC
	Server   *Server
	HostData any // the host's own
	attemptState
}

// attemptState is what the Balancer knows of an attempt. Times are in seconds.
type attemptState struct {
	sentAt          float64
	row             int     // of the Q-table
	expectedLatency float64 // by that row, for the method's mean work
	extraLatency    float64 // more than that, by the RPC's work hint
	lateAfter       float64 // the age from which it is late
	connectionIdle  float64 // how long its connection had been idle; 0: it was not, or is new
	opensConnection bool
	withoutReport   bool // its server was chosen without a fresh load report
	inFlight        bool
	countedLate     bool // its lateness has been counted
	neverRan        bool // it is known to have had no effect
}
