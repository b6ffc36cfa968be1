package decide

// Idempotency says whether a method's RPC may be sent again once it may have run.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent    Idempotency = iota // it may run any number of times
	Deduplicated                     // servers drop repeats by its idempotency key, within a window and a scope
	NonIdempotent                    // it must not run twice
)

// DedupScope is the group of servers that drops repeats of a deduplicated RPC.
type DedupScope int

// The scopes of deduplication.
const (
	ScopeAll  DedupScope = iota // all servers
	ScopeZone                   // the servers of one zone
	ScopeCell                   // the servers of one cell of a zone
)

// Method is the settings of one kind of RPC. Times are in seconds.
type Method struct {
	LatencyObjective float64 // an answer within it has the full weight
	Deadline         float64
	PriorityWeight   float64 // what an answer within the objective is worth
	LateWeight       float64 // the part of PriorityWeight that an answer after the objective is worth
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      float64 // how long servers drop repeats, from the first attempt on
}

// Tenant is the settings of one customer.
type Tenant struct {
	Quota float64 // RPCs a second over all nodes; 0: none
}

// Settings is the configuration of an instance. Times are in seconds.
type Settings struct {
	Methods []Method
	Tenants []Tenant
	Zone    int
	Stage   int // 0: clients send to this instance; else nodes of the stage before do

	Instances         int     // nodes of the tier
	MaxAttempts       int     // of an RPC
	MayCancel         bool    // attempts may be canceled
	Hedging           bool    // an RPC may have several attempts in flight
	MaxRetryAfter     float64 // the longest wait that a pushback may advise; 0: it advises none
	OverQuotaWeight   float64 // the part of its weight that is left to traffic beyond a tenant's quota
	CrossZoneCost     float64 // of an attempt in another zone
	MustSubscribe     bool    // there are watch events only after Host.WatchEndpoints
	MaxPollInterval   float64 // without a subscription, the endpoint list has to be polled for within it
	MaxFirstPollDelay float64 // before the first poll, at most; 0: no bound

	SlowStartFraction float64 // of its capacity that a server has when it starts
	SlowStartDuration float64 // until it has all of it
	OverloadMultiple  float64 // times its capacity of then that overloads a server in slow start
	OverloadWindow    float64 // within which that many attempts overload it
}
