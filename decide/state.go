package decide

// Server is one server of the tier below. The Balancer removes it once it has left the endpoint list and has no attempt
// in flight.
type Server struct {
	HostData any // for the host's own use
	serverState
}

// serverState is what the Balancer stores for a server. Times are in seconds.
type serverState struct {
	state        State
	zone, cell   int
	weight       float64
	startedAt    float64    // start of its process; 0: long ago
	listVersion  int        // Balancer.listVersion of the last watch event that contained it
	inSubset     bool       // it is a member of Balancer.subset
	inFlight     []*Attempt // oldest first
	lastAnswerAt float64    // time of its last answer or rejection; 0: none
	entries      []qEntry   // of the Q-table, by row; nil: the server is not in Balancer.servers
	latencyRatio latencyRatio
	load         serverLoad
	outlier      outlierState
	slowStart    slowStartBudget
	connections  serverConnections
}

// RPC is one request that the instance has received and has to answer. Times are in seconds.
type RPC struct {
	Method      int     // slot of Settings.Methods
	Tenant      int     // slot of Settings.Tenants
	Deadline    float64 // time by which the client needs the answer
	WorkHint    float64 // rough estimate of its cost, in any unit; 0: none
	Retry       bool    // the client marked it as a retry
	BodyPending bool    // its body is still being streamed to its server; see Balancer.BodyReceived
	HostData    any     // for the host's own use
	rpcState
}

// rpcState is what the Balancer stores for an RPC. Times are in seconds.
type rpcState struct {
	rules           *methodRules
	open            bool    // it has not ended
	streaming       bool    // its answer is being streamed to the client
	clockStart      float64 // time of its arrival, or of the end of its streamed body
	usefulUntil     float64 // time after which an answer has no value
	admissionShare  float64 // fraction of the concurrency limit, and of the time left, that it may use
	extraWork       float64 // its work divided by the method's mean work, minus 1
	attempts        []*Attempt
	inFlight        int      // number of its attempts in flight
	firstMayHaveRun *Attempt // the first attempt that may have had an effect; nil: none
}

// Attempt is one attempt of an RPC at a server.
type Attempt struct {
	RPC      *RPC
	Server   *Server
	HostData any // for the host's own use
	attemptState
}

// attemptState is what the Balancer stores for an attempt. Times are in seconds.
type attemptState struct {
	sentAt          float64 // time of its sending, or of the end of its RPC's streamed body
	row             int     // index of its row in the Q-table
	expectedLatency float64 // the row's mean: the latency expected for the method's mean work
	extraLatency    float64 // extraWork * typical latency; negative for a small work hint
	lateAfter       float64 // age above which it is late
	connectionIdle  float64 // how long its connection had been idle; 0: the connection was in use, or is new
	opensConnection bool    // it opens a new connection
	withoutReport   bool    // its server was chosen without a fresh load report
	inFlight        bool
	countedLate     bool // it was recorded as late, or as a time-out, before its result
	neverRan        bool // it is known to have had no effect
}
