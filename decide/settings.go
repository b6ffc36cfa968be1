package decide

// Idempotency says whether an RPC of a method may be sent again once an earlier attempt may have run.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent    Idempotency = iota // an RPC may run any number of times
	Deduplicated                     // servers drop duplicates by idempotency key, within DedupWindow and DedupScope
	NonIdempotent                    // an RPC must run at most once
)

// DedupScope is a set of servers. Once one of these servers has received a deduplicated RPC, all of them drop
// duplicates of the RPC.
type DedupScope int

// The scopes of deduplication.
const (
	ScopeAll  DedupScope = iota // all servers
	ScopeZone                   // the servers of one zone
	ScopeCell                   // the servers of one cell of a zone
)

// Method holds the settings of one method. Times are in seconds.
type Method struct {
	LatencyObjective float64 // an answer within this time has the value PriorityWeight
	Deadline         float64 // time allowed for an RPC; also the cost of a failure in the Q-table
	PriorityWeight   float64 // value of an answer within LatencyObjective, relative to other methods
	LateWeight       float64 // value of an answer after LatencyObjective, as a fraction of PriorityWeight
	Idempotency      Idempotency
	DedupScope       DedupScope // servers that drop duplicates
	DedupWindow      float64    // time after the first attempt during which servers drop duplicates
}

// Tenant holds the settings of one customer.
type Tenant struct {
	Quota float64 // RPCs per second over all nodes; 0: no quota
}

// Settings is the configuration of an instance. Times are in seconds.
type Settings struct {
	Methods []Method
	Tenants []Tenant
	Zone    int // zone of this node
	Stage   int // 0: clients send RPCs to this instance; otherwise the nodes of the previous stage send them

	Instances         int     // number of nodes in the tier
	MaxAttempts       int     // per RPC
	MayCancel         bool    // attempts may be canceled
	Hedging           bool    // an RPC may have several attempts in flight
	MaxRetryAfter     float64 // longest wait that a pushback may advise; 0: no wait is advised
	OverQuotaWeight   float64 // factor on the weight of RPCs that exceed their tenant's quota
	CrossZoneCost     float64 // dimensionless; raises estimates for other zones, see crossZoneFactor
	MustSubscribe     bool    // watch events arrive only after Host.WatchEndpoints
	MaxPollInterval   float64 // longest time between polls of the endpoint list while there is no subscription
	MaxFirstPollDelay float64 // longest delay of the first poll; 0: no upper bound

	SlowStartFraction float64 // fraction of its capacity that a server has when it starts
	SlowStartDuration float64 // time from a server's start until it has its full capacity
	OverloadMultiple  float64 // a server in slow start is overloaded above this multiple of its current capacity
	OverloadWindow    float64 // time over which the load of a server in slow start is measured
}
