// Package relay tells many nodes the store of record in the store's place: one follower of the store, one copy, one writer. What the copy may answer and
// which writes are one is decided by package replica; here are the goroutines round it. store.ServeWithin puts it on a listener.
package recordserver

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/record/record"
	"robincart/internal/record/replica"
	"robincart/internal/record/store"
)

// Config bounds one.
type Config struct {
	PollInterval      time.Duration // between looks at the store where nothing is told
	CallTimeout       time.Duration // of one call to the store
	BatchDelay        time.Duration // between two readings, so that a burst of changes is some words to each node
	HeartbeatInterval time.Duration // between signs of life
	FreshnessTimeout  time.Duration // for the store's word about one who stands further than the copy
	PageSize          int           // facts read, and changes written, in one go
	MaxBatch          int
}

// DefaultConfig keep what is written in force everywhere within some seconds, whichever replica ends.
func DefaultConfig() Config {
	return Config{PollInterval: time.Second, CallTimeout: 2 * time.Second, BatchDelay: 200 * time.Millisecond, HeartbeatInterval: 2 * time.Second, FreshnessTimeout: time.Second, PageSize: 2000, MaxBatch: 200}
}

// ClientLimits are the bounds of nodes that call.
func ClientLimits(callers int) store.ServerLimits {
	return store.ServerLimits{MaxClients: callers, MaxCallBytes: 1 << 20, CallTimeout: 5 * time.Second, WriteTimeout: 2 * time.Second, AllowedCalls: []string{"follow", "since", "write"}}
}

// Server is one replica's. It is a store.Follower.
type Server struct {
	c    Config
	up   store.Store
	log  *zap.Logger
	look chan struct{} // the store is to be read
	put  chan struct{} // and written

	mu      sync.Mutex
	copy    replica.Copy
	queue   replica.Queue
	news    chan struct{} // closed when the copy has changed
	back    chan struct{} // closed when it has gone back, or to another epoch
	heard   time.Time     // when the store last said where it stands
	fault   string
	rounds  int           // readings begun
	round   chan struct{} // closed when one ends
	well    int           // the last that went well
	follows int
	counts  Status
}

// New makes one of a store, which it does not close. Run starts it.
func New(up store.Store, c Config, log *zap.Logger) *Server {
	return &Server{c: c, up: up, log: log, look: make(chan struct{}, 1), put: make(chan struct{}, 1), news: make(chan struct{}), back: make(chan struct{}),
		round: make(chan struct{})}
}

func ring(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Run follows the store and writes to it until the context ends.
func (r *Server) Run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() {
		for ctx.Err() == nil {
			if err := r.up.Wait(ctx, r.c.PollInterval); err != nil {
				sleep(ctx, r.c.PollInterval)
			}
			ring(r.look)
		}
	})
	ring(r.look)
	last, most := r.c.BatchDelay, r.c.MaxBatch
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.look:
		case <-r.put:
		}
		// Nothing is written that was not read before: a store that went back would hide that behind new numbers.
		err := r.turn(ctx)
		for err == nil && r.write(ctx, &most) {
			err = r.turn(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		pause := r.c.BatchDelay
		if err != nil { // a store that comes back must not meet all replicas at once
			r.refuse(err)
			pause = min(2*last, 2*time.Second)
		}
		last = pause
		sleep(ctx, pause/2+time.Duration(rand.Int63n(int64(pause)/2+1)))
	}
}

// turn is one reading, whose end is told.
func (r *Server) turn(ctx context.Context) error {
	r.mu.Lock()
	r.rounds++
	r.mu.Unlock()
	err := r.read(ctx)
	if ctx.Err() == nil {
		r.ended(err)
	}
	return err
}

// refuse tells those who wait that the store can't be used: they try again in their own time.
func (r *Server) refuse(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for batch := r.queue.Next(replica.MaxPendingWrites); len(batch) > 0; batch = r.queue.Next(replica.MaxPendingWrites) {
		for _, j := range batch {
			j.Err = err
			close(j.Done)
		}
		r.queue.Complete(batch)
	}
}

// read is one reading of what the store has and the copy has not.
func (r *Server) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.c.CallTimeout)
	defer cancel()
	m, err := r.up.Meta(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	after, whole, any := r.copy.NextRead(m)
	r.mu.Unlock()
	if !any {
		return nil
	}
	p := record.Page{Complete: whole}
	for {
		next, err := r.up.Since(ctx, after, r.c.PageSize)
		if err != nil {
			return err
		}
		if len(p.Entries) > 0 && next.Meta.Epoch != p.Meta.Epoch {
			return record.ErrEpochMismatch // restored while it was read: from the start, next time
		}
		if p.Meta, p.Entries = next.Meta, append(p.Entries, next.Entries...); len(p.Entries) > replica.MaxEntries {
			return replica.ErrTooLarge
		}
		if len(next.Entries) < r.c.PageSize {
			break
		}
		after = next.Entries[len(next.Entries)-1].Revision
	}
	if !whole && (p.Meta.Epoch != m.Epoch || p.Meta.Revision < m.Revision) { // what came is no continuation of the copy
		return record.ErrEpochMismatch
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	back, err := r.copy.Apply(p)
	if err != nil {
		return err
	}
	close(r.news)
	r.news = make(chan struct{})
	if back {
		r.log.Warn("the store of record went back, or has another epoch; nodes are told anew", zap.String("epoch", p.Meta.Epoch), zap.Int64("revision", p.Meta.Revision))
		close(r.back)
		r.back = make(chan struct{})
	}
	return nil
}

// ended notes how a reading went; the log tells of changes.
func (r *Server) ended(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		if r.fault != "" {
			r.log.Info("the store of record is back", zap.Int64("revision", r.copy.Meta().Revision))
		}
		r.fault, r.heard, r.well = "", time.Now(), r.rounds
	case r.fault == "":
		r.log.Error("the store of record can't be used; nodes are told the copy", zap.Error(err), zap.Int64("revision", r.copy.Meta().Revision))
		fallthrough
	default:
		r.fault = err.Error()
	}
	close(r.round)
	r.round = make(chan struct{})
}

// errNothing is said before the first reading.
var errNothing = errors.New("nothing was read of the record yet")

// CheckFresh tells whether the copy can answer one who stands there. Where the copy does not know, the store is asked first: it may have gone back, or
// this replica may be the one that is behind.
func (r *Server) CheckFresh(ctx context.Context, at record.Meta) error {
	ctx, cancel := context.WithTimeout(ctx, r.c.FreshnessTimeout)
	defer cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	for begun := r.rounds; ; {
		switch {
		case r.copy.IsCurrentFor(at):
			return nil
		case r.well > begun: // a reading that began after the question
			return nil
		}
		ended := r.round
		r.mu.Unlock()
		ring(r.look)
		select {
		case <-ctx.Done():
		case <-ended:
		}
		r.mu.Lock()
		switch {
		case ctx.Err() == nil:
		case r.copy.Meta().Epoch == "":
			return errNothing
		default:
			return record.ErrReplicaBehind
		}
	}
}

// stand is where the copy stands. The mutex is held.
func (r *Server) stand() store.Position {
	return store.Position{Meta: r.copy.Meta(), Age: time.Since(r.heard).Milliseconds()}
}

// Watch tells the copy's stand, and each change of it.
func (r *Server) Watch(ctx context.Context, tell func(*store.Position) error) error {
	r.mu.Lock()
	if r.copy.Meta().Epoch == "" {
		r.mu.Unlock()
		return errNothing
	}
	s, news, back := r.stand(), r.news, r.back
	r.follows++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.follows--
		r.mu.Unlock()
	}()
	tick := time.NewTicker(r.c.HeartbeatInterval)
	defer tick.Stop()
	for say := &s; ; {
		if err := tell(say); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-back:
			return record.ErrRolledBack
		case <-tick.C:
		case <-news:
		}
		r.mu.Lock()
		// While the store is away its last word grows older, and those who follow have to know.
		if say = nil; r.news != news || r.fault != "" {
			s = r.stand()
			say = &s
		}
		news = r.news
		r.mu.Unlock()
	}
}

// Meta is the copy's.
func (r *Server) Meta(context.Context) (record.Meta, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.copy.Meta().Epoch == "" {
		return record.Meta{}, errNothing
	}
	return r.copy.Meta(), nil
}

// Since is the copy's.
func (r *Server) Since(_ context.Context, after int64, most int) (record.Page, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.copy.Meta().Epoch == "" {
		return record.Page{}, errNothing
	}
	return r.copy.Since(after, most), nil
}

// Write answers what the copy knows, and has the rest written once for all who ask for it. Unlike a store's it may do some of the changes and not others:
// who tries the same again with the same marks loses nothing.
func (r *Server) Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error) {
	if err := replica.CheckAllowed(epoch, changes); err != nil {
		return nil, record.Meta{}, err
	}
	facts, jobs := make([]record.Entry, len(changes)), make([]*replica.PendingWrite, len(changes))
	var refused error
	r.mu.Lock()
	for i, c := range changes {
		if epoch == r.copy.Meta().Epoch {
			f, err, known := r.copy.Resolve(&c)
			if facts[i] = f; known {
				r.counts.Answered++
				if refused == nil {
					refused = err
				}
				continue
			}
		}
		if jobs[i] = r.queue.Add(epoch, c); jobs[i] == nil {
			r.mu.Unlock()
			return nil, record.Meta{}, fmt.Errorf("%w: %d changes wait for the store", store.ErrBusy, replica.MaxPendingWrites)
		}
	}
	r.mu.Unlock()
	ring(r.put)
	for i, j := range jobs {
		if j == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, record.Meta{}, fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, ctx.Err())
		case <-j.Done:
		}
		if facts[i] = j.Entry; j.Err != nil && refused == nil {
			refused = j.Err
		}
	}
	if refused != nil {
		return nil, record.Meta{}, refused
	}
	return facts, r.reads(ctx, epoch, facts), nil
}

// reads waits for a while until the copy has what was written: who wrote it would else find this replica behind itself.
func (r *Server) reads(ctx context.Context, epoch string, facts []record.Entry) record.Meta {
	ctx, cancel := context.WithTimeout(ctx, r.c.FreshnessTimeout)
	defer cancel()
	to := int64(0)
	for _, f := range facts {
		to = max(to, f.Revision)
	}
	for {
		r.mu.Lock()
		m, ended := r.copy.Meta(), r.round
		r.mu.Unlock()
		if ctx.Err() != nil || m.Epoch != epoch || m.Revision >= to {
			return m
		}
		ring(r.look)
		select {
		case <-ctx.Done():
		case <-ended:
		}
	}
}

// write takes the next of what waits to the store, most of it at once, and tells whether there was any.
func (r *Server) write(ctx context.Context, most *int) bool {
	r.mu.Lock()
	batch := r.queue.Next(*most)
	r.mu.Unlock()
	if len(batch) == 0 {
		return false
	}
	// A far store takes long for each change: a batch that never gets done in its time would be tried for ever, and hold the store's lock meanwhile.
	if err := r.send(ctx, batch); errors.Is(err, context.DeadlineExceeded) {
		*most = max(len(batch)/2, 1)
	} else if err == nil && len(batch) == *most {
		*most = min(2**most, r.c.MaxBatch)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Complete(batch)
	r.counts.Written += len(batch)
	for _, j := range batch {
		if r.copy.Meta().Epoch == j.Epoch {
			r.copy.NoteWritten(j.Entry)
		}
		close(j.Done)
	}
	return true
}

// send writes a batch in one transaction, or where one of it is refused each by itself, so that it costs no other.
func (r *Server) send(ctx context.Context, batch []*replica.PendingWrite) error {
	changes := make([]record.Change, len(batch))
	for i, j := range batch {
		changes[i] = j.Change
	}
	call := func(changes []record.Change) ([]record.Entry, error) {
		ctx, cancel := context.WithTimeout(ctx, r.c.CallTimeout)
		defer cancel()
		facts, _, err := r.up.Write(ctx, batch[0].Epoch, changes)
		return facts, err
	}
	facts, err := call(changes)
	var stale *record.StaleError
	var lost *record.ConflictError
	if len(batch) > 1 && (errors.As(err, &stale) || errors.As(err, &lost)) {
		for i, j := range batch {
			var f []record.Entry
			if f, j.Err = call(changes[i : i+1]); j.Err == nil {
				j.Entry = f[0]
			}
		}
		return nil
	}
	for i, j := range batch {
		if j.Err = err; err == nil {
			j.Entry = facts[i]
		}
	}
	return err
}

// Wait returns when the copy has changed, or after a while.
func (r *Server) Wait(ctx context.Context, most time.Duration) error {
	r.mu.Lock()
	news := r.news
	r.mu.Unlock()
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-news:
	case <-t.C:
	}
	return nil
}

var errPeople = errors.New("that is done at the store itself")

// Init, Replace and Verify are people's, at the store.
func (r *Server) Init(context.Context, bool) ([]string, error) { return nil, errPeople }

// Replace is not done here.
func (r *Server) Replace(context.Context, []record.Entry) (record.Meta, error) {
	return record.Meta{}, errPeople
}

// Verify is not done here.
func (r *Server) Verify(context.Context) ([]string, error) { return nil, errPeople }

// Close leaves the store open: others use it.
func (r *Server) Close() error { return nil }

// Status is what the status page shows.
type Status struct {
	Epoch               string  `json:"epoch"`
	Revision            int64   `json:"revision"`
	Entries             int     `json:"facts"`
	Nodes               int     `json:"nodes"` // that follow
	SecondsSinceContact float64 `json:"heard_seconds_ago"`
	Error               string  `json:"fault,omitempty"`
	Pending             int     `json:"waiting"`  // changes
	Written             int     `json:"written"`  // sent to the store
	Answered            int     `json:"answered"` // from the copy
	Merged              int     `json:"merged"`   // with another node's
}

// Status tells how it stands.
func (r *Server) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.counts
	s.Epoch, s.Revision, s.Entries, s.Nodes, s.Error = r.copy.Meta().Epoch, r.copy.Meta().Revision, r.copy.Len(), r.follows, r.fault
	s.Pending, s.Merged, s.SecondsSinceContact = r.queue.Len(), r.queue.Merged, -1
	if !r.heard.IsZero() {
		s.SecondsSinceContact = time.Since(r.heard).Seconds()
	}
	return s
}
