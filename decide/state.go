package decide

// Server is one server of the tier below. The Balancer removes a server that has left the endpoint list and has no
// attempt in flight.
type Server struct {
	HostData any // for the host's own use
	serverState
}

// serverState is what the Balancer stores for a server. Times are in seconds.
type serverState struct {
	state        State
	zone, cell   int
	weight       float64
	startedAt    float64    // start of the server's process; 0: long ago
	listVersion  int        // Balancer.listVersion at the last watch event that contained the server
	inSubset     bool       // the server is a member of Balancer.subset
	inFlight     []*Attempt // attempts in flight at the server, oldest first
	lastAnswerAt float64    // time of the last answer or rejection; 0: none
	entries      []qEntry   // the server's entries in the Q-table, by row; nil if the server is not in Balancer.servers
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
	WorkHint    float64 // rough estimate of the RPC's cost, in any unit; 0: none
	Retry       bool    // the client marked the RPC as a retry
	BodyPending bool    // the RPC's body is still being streamed to the server; see Balancer.BodyReceived
	HostData    any     // for the host's own use
	rpcState
}

// rpcState is what the Balancer stores for an RPC. Times are in seconds.
type rpcState struct {
	rules           *methodRules
	open            bool    // the RPC has not ended
	counted         bool    // the RPC counts towards the concurrency limit
	streaming       bool    // the answer is being streamed to the client
	clockStart      float64 // time of the RPC's arrival or, if its body is streamed, of the end of the body
	usefulUntil     float64 // time after which an answer has no value
	admissionShare  float64 // fraction of the concurrency limit that the RPC may use; see the function admissionShare
	extraWork       float64 // the RPC's work divided by the method's mean work, minus 1
	attempts        []*Attempt
	inFlight        int      // number of the RPC's attempts in flight
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
	sentAt          float64 // time when the attempt was sent or, if the body is streamed, of the end of the body
	row             int     // index of the row in the Q-table
	expectedLatency float64 // the row's mean: the latency expected for the method's mean work
	extraLatency    float64 // extraWork * typical latency; negative for a small work hint
	lateAfter       float64 // the attempt is late if its age exceeds this value
	connectionIdle  float64 // idle time of the connection before the attempt; 0: the connection was in use or is new
	opensConnection bool    // the attempt opens a new connection
	withoutReport   bool    // the server was chosen without a fresh load report
	inFlight        bool
	longAnswer      bool // a long answer has begun
	countedLate     bool // recorded as late or as a time-out before the result was known
	neverRan        bool // the attempt is known to have had no effect
}
