// Package recordcache keeps a node's copy of the record: it follows the store, writes what the node learns, keeps a snapshot on the
// local disk, and stands between discovery and the cores. What it knows is merged by record.View; nothing here keeps a request
// or discovery waiting, whatever the store does.
package recordcache

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/controlplane/endpoints"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// Config is what an operator says of the record.
type Config struct {
	Name         string
	Store        string // its address, for people
	Open         func() (store.Store, error)
	Snapshot     string        // file; empty: none
	Required     bool          // no start without the store
	MaxStaleness time.Duration // that servers known from an old copy alone may be sent to
	MaxPending   int           // changes that may wait, drains not counted
	CallTimeout  time.Duration // of one call to the store
	PollInterval time.Duration // between looks where nothing is told
}

// Cache is one node's.
type Cache struct {
	c      Config
	log    *zap.Logger
	now    func() time.Time
	store  store.Store
	notice chan struct{} // something is to be written
	dirty  chan struct{} // the snapshot is to be written
	facts  chan struct{} // services, routes or tenants have changed
	all    sync.WaitGroup
	end    context.CancelFunc
	back   bool // the store's copy went back, and all of it was not read since; run's alone
	fits   int  // changes of one transaction; run's alone

	mu     sync.Mutex
	view   *record.View
	sinks  map[string]*Subscription
	fault  string // of the store, as last told; empty: none
	faults int
	saved  time.Time
	wrote  int
	mark   uint64
}

// keepGone is how long the sighting of a server that has left is kept, and prune how often that is looked after.
const (
	keepGone = 10 * time.Minute
	prune    = 30 * time.Second
)

// page is how many facts are read in one go.
const page = 2000

// What a copy may hold. Ten times the target's fleet, with all that left lately, is a tenth of it; a store that claims more is
// not followed further, and the copy stays as it is.
const (
	mostFacts = 100_000
	mostBytes = 64 << 20
)

// ErrRecordTooLarge is a record that is too large for a node.
var ErrRecordTooLarge = fmt.Errorf("the record has more than %d facts or %d MB: a node takes no more", mostFacts, mostBytes>>20)

// batch is how many changes are written in one transaction, at most.
const batch = 200

// batchFirst is how many it begins with: a node does not know how far its store is, and one transaction keeps all others out.
const batchFirst = 8

// Open reads the snapshot and, where the store is required, the store. The error is what an operator has to mend.
func Open(ctx context.Context, c Config, log *zap.Logger) (*Cache, error) {
	k := &Cache{c: c, log: log, now: time.Now, notice: make(chan struct{}, 1), dirty: make(chan struct{}, 1), facts: make(chan struct{}, 1),
		sinks: map[string]*Subscription{}, fits: batchFirst}
	boot := strconv.FormatUint(rand.Uint64(), 36)
	k.view = record.NewView(c.Name, c.MaxPending, func() string {
		k.mark++
		return c.Name + "." + boot + "." + strconv.FormatUint(k.mark, 36)
	})
	k.view.MaxStaleness = c.MaxStaleness.Milliseconds()
	if c.Snapshot != "" {
		s, found, err := awaitSnapshot(c.Snapshot)
		switch {
		case err != nil && !errors.Is(err, ErrCorruptSnapshot):
			// Begun without it, the next snapshot would be written over what nobody else may know.
			return nil, fmt.Errorf("the snapshot can't be read; mend its folder, or move it away to begin without: %w", err)
		case err != nil:
			log.Error("the snapshot can't be used", zap.Error(err))
		case found:
			k.view.Restore(s, k.millis())
			log.Info("started from a snapshot", zap.Int("facts", len(s.Entries)), zap.Int64("revision", s.Meta.Revision),
				zap.Duration("age", time.Duration(k.millis()-s.LastContact)*time.Millisecond))
		}
	}
	var err error
	if k.store, err = c.Open(); err != nil {
		return nil, err
	}
	k.stands()
	if err := k.follow(ctx); err != nil {
		if c.Required {
			k.store.Close()
			return nil, fmt.Errorf("the record at %s is required and can't be used: %w", c.Store, err)
		}
		k.failed(err)
	}
	life, end := context.WithCancel(context.Background())
	k.end = end
	k.all.Go(func() { k.run(life) })
	if c.Snapshot != "" {
		k.all.Go(func() { k.save(life) })
	}
	return k, nil
}

func (k *Cache) millis() int64 { return k.now().UnixMilli() }

// Changes tells, by a signal, that services, routes or tenants have changed.
func (k *Cache) Changes() <-chan struct{} { return k.facts }

// Entries are the facts of a kind in force.
func (k *Cache) Entries(kind record.Kind) []record.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.Entries(kind)
}

// Close writes what waits, if the store takes it at once, and a last snapshot.
func (k *Cache) Close() {
	k.end()
	k.all.Wait()
	k.store.Close()
}

// run follows the store and writes to it, in turn.
func (k *Cache) run(ctx context.Context) {
	var waiter sync.WaitGroup
	defer waiter.Wait()
	told := make(chan error, 1)
	waiter.Go(func() { // the store's word that something was written, beside the writing
		for ctx.Err() == nil {
			err := k.store.Wait(ctx, k.c.PollInterval)
			select {
			case told <- err:
			default:
			}
			if err != nil {
				sleep(ctx, k.c.PollInterval)
			}
		}
	})
	pause, pruned := time.Duration(0), time.Now()
	for {
		select {
		case <-ctx.Done():
			last, stop := context.WithTimeout(context.Background(), time.Second)
			defer stop()
			k.write(last)
			return
		case <-told:
		case <-k.notice:
		}
		if sleep(ctx, pause); ctx.Err() != nil {
			continue
		}
		err := k.follow(ctx)
		if err == nil {
			err = k.write(ctx)
		}
		switch {
		case ctx.Err() != nil:
		case err != nil:
			k.failed(err)
			// A store that comes back must not meet all nodes at once.
			pause = min(max(2*pause, 100*time.Millisecond), 5*time.Second)
			pause = pause/2 + time.Duration(rand.Int63n(int64(pause)))
			ring(k.notice)
		default:
			pause = 0
			k.well()
		}
		k.pass("") // drains end in time, and copies grow old
		if time.Since(pruned) > prune {
			pruned = time.Now()
			k.mu.Lock()
			k.view.Prune(k.millis(), keepGone.Milliseconds())
			k.mu.Unlock()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func ring(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// copied is a store that is read through a replica's copy: it wants to know where this node stands, and tells how old its word is.
type copied interface {
	At(record.Meta)
	Age() time.Duration
	Back() bool
}

// stands tells it.
func (k *Cache) stands() {
	if c, is := k.store.(copied); is {
		k.mu.Lock()
		m := k.view.Position()
		k.mu.Unlock()
		c.At(m)
	}
}

// said is when the store said what has just been read.
func (k *Cache) said() int64 {
	if c, is := k.store.(copied); is {
		return k.millis() - c.Age().Milliseconds()
	}
	return k.millis()
}

// follow reads what the store has that this copy has not.
func (k *Cache) follow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.c.CallTimeout)
	defer cancel()
	m, err := k.store.Meta(ctx)
	if err != nil {
		return err
	}
	if c, is := k.store.(copied); is && c.Back() {
		k.back = true
	}
	k.mu.Lock()
	read := k.view.NextRead(m)
	after, whole := read.After, read.Complete
	if k.back {
		after, whole = 0, true
	}
	same := !whole && after == m.Revision && k.view.SyncState == record.Following
	if same {
		k.view.LastContact = k.said()
	}
	k.mu.Unlock()
	if same {
		return nil
	}
	p := record.Page{Complete: whole}
	bytes := 0
	for from := after; ; {
		next, err := k.store.Since(ctx, from, page)
		if err != nil {
			return err
		}
		if len(p.Entries) > 0 && next.Meta.Epoch != p.Meta.Epoch {
			return record.ErrEpochMismatch // restored while it was read: from the start, next time
		}
		p.Meta = next.Meta
		p.Entries = append(p.Entries, next.Entries...)
		for _, f := range next.Entries {
			bytes += len(f.Name) + len(f.Value)
		}
		if len(p.Entries) > mostFacts || bytes > mostBytes {
			return ErrRecordTooLarge
		}
		if len(next.Entries) < page {
			break
		}
		from = next.Entries[page-1].Revision
	}
	k.mu.Lock()
	if k.view.SizeWith(p) > mostFacts {
		k.mu.Unlock()
		return ErrRecordTooLarge
	}
	was := k.view.SyncState
	k.view.ApplyPage(p, k.millis())
	k.view.LastContact = k.said()
	is := k.view.SyncState
	news := false
	for _, f := range p.Entries {
		news = news || f.Kind == record.KindService || f.Kind == record.KindRoute || f.Kind == record.KindTenant
	}
	waits := k.view.PendingCount()
	k.mu.Unlock()
	k.back = false
	k.stands()
	if is != was && is != record.Following {
		k.log.Warn("the store stands elsewhere than this copy", zap.Stringer("standing", is), zap.String("epoch", p.Meta.Epoch),
			zap.Int64("revision", p.Meta.Revision), zap.Int("to be written again", waits))
	}
	if news || whole {
		ring(k.facts)
	}
	ring(k.dirty)
	k.pass("")
	return nil
}

// write writes what waits, drains first. A change that something newer has overtaken is given up: the store is right.
func (k *Cache) write(ctx context.Context) error {
	for {
		k.mu.Lock()
		changes, epoch := k.view.Pending(k.fits), k.view.Meta.Epoch
		k.mu.Unlock()
		for i := range changes { // drains do not wait for what comes with them
			if changes[0].Kind == record.KindDrain && changes[i].Kind != record.KindDrain {
				changes = changes[:i]
				break
			}
		}
		if len(changes) == 0 {
			k.mu.Lock()
			m, back := k.view.Meta, k.view.SyncState == record.RolledBack
			k.mu.Unlock()
			if back { // what was lacking is there again: from here on the store is followed
				call, cancel := context.WithTimeout(ctx, k.c.CallTimeout)
				defer cancel()
				now, err := k.store.Meta(call)
				if err != nil {
					return err
				}
				if now.Epoch == m.Epoch {
					k.mu.Lock()
					k.view.MarkSynced(now)
					k.mu.Unlock()
					k.stands()
				}
			}
			return nil
		}
		if epoch == "" {
			return nil // nothing was read yet
		}
		call, cancel := context.WithTimeout(ctx, k.c.CallTimeout)
		facts, _, err := k.store.Write(call, epoch, changes)
		switch {
		case err == nil:
			k.fits = min(batch, 2*k.fits)
		case call.Err() != nil && ctx.Err() == nil: // too much for one call, so far from the store
			k.fits = max(1, len(changes)/2)
		}
		var stale *record.StaleError
		var lost *record.ConflictError
		if errors.As(err, &stale) || errors.As(err, &lost) { // one by one, so that it costs no other
			facts, err = nil, nil
			for i, c := range changes {
				var f []record.Entry
				f, _, err = k.store.Write(call, epoch, changes[i:i+1])
				switch {
				case errors.As(err, &stale):
					f, err = []record.Entry{stale.Current}, nil
				case errors.As(err, &lost):
					f, err = []record.Entry{lost.Current}, nil
				}
				if err != nil {
					changes = changes[:i]
					break
				}
				facts = append(facts, f...)
				_ = c
			}
		}
		cancel()
		k.mu.Lock()
		for i, f := range facts {
			k.view.MarkWritten(changes[i], f)
			k.wrote++
		}
		k.mu.Unlock()
		k.stands()
		ring(k.dirty)
		if err != nil {
			return err
		}
	}
}

// failed notes that the store can't be used; the log tells of changes, not of each try.
func (k *Cache) failed(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults++
	k.view.MarkDisconnected()
	if k.fault == "" {
		k.log.Error("the store of record can't be used; the node goes on by its own copy", zap.Error(err), zap.String("store", k.c.Store),
			zap.Int("waiting", k.view.PendingCount()))
	}
	k.fault = err.Error()
}

func (k *Cache) well() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fault != "" {
		k.log.Info("the store of record is back", zap.Int("tries", k.faults), zap.Int64("revision", k.view.Meta.Revision))
		k.fault, k.faults = "", 0
	}
}

// save keeps the snapshot as new as the copy, some times a second at most.
func (k *Cache) save(ctx context.Context) {
	failing, took := false, time.Duration(0)
	for more := true; more; {
		select {
		case <-ctx.Done():
			more = false
		case <-k.dirty:
			k.mu.Lock()
			alone := k.view.UnrecordedDrains()
			k.mu.Unlock()
			// A twentieth of one core at most, but for what nobody else knows.
			if pause := 100 * time.Millisecond; alone > 0 {
				sleep(ctx, pause)
			} else {
				sleep(ctx, min(max(pause, 20*took), 2*time.Second))
			}
		}
		begun := time.Now()
		k.mu.Lock()
		s := k.view.Snapshot()
		k.mu.Unlock()
		err := WriteSnapshot(k.c.Snapshot, s)
		took = time.Since(begun)
		if err != nil && !failing {
			k.log.Error("writing the snapshot failed; the last one stays", zap.Error(err))
		}
		if failing = err != nil; failing {
			ring(k.dirty) // tried again, also where nothing changes any more
			continue
		}
		k.mu.Lock()
		k.saved = k.now()
		k.mu.Unlock()
	}
}

// AddDrain is an operator's word to this node: in force at once, recorded then.
func (k *Cache) AddDrain(name string, d record.Drain) {
	k.mu.Lock()
	k.view.AddDrain(name, d, k.millis())
	k.mu.Unlock()
	ring(k.notice)
	ring(k.dirty)
	k.pass("")
}

// Subscription stands between one service's discovery and its core.
type Subscription struct {
	k       *Cache
	service string
	core    endpoints.Receiver
	order   sync.Mutex // lists reach the core in the order in which they were merged
	last    string
}

// Subscribe begins to stand there. What the record knows of the service's servers goes to the core at once, so that a node serves
// before its discovery answers.
func (k *Cache) Subscribe(service string, core endpoints.Receiver) *Subscription {
	s := &Subscription{k: k, service: service, core: core}
	k.mu.Lock()
	k.sinks[service] = s
	k.mu.Unlock()
	k.pass(service)
	return s
}

// Unsubscribe ends it, when its service leaves.
func (k *Cache) Unsubscribe(s *Subscription) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sinks[s.service] == s {
		delete(k.sinks, s.service)
	}
}

var phases = map[decide.State]string{decide.Ready: "ready", decide.Draining: "draining", decide.Gone: "gone"}

// UpdateEndpoints takes a list of discovery's. It goes on to the core merged, and to the record when that has time.
func (s *Subscription) UpdateEndpoints(entries []node.Endpoint, full bool) {
	list := make([]record.Observation, 0, len(entries))
	for _, e := range entries {
		x := record.Observation{ID: e.ID, Addr: e.Addr, Phase: phases[e.State], Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, ListRevision: e.Revision}
		if !e.StartedAt.IsZero() {
			x.Start = e.StartedAt.UnixMilli()
		}
		list = append(list, x)
	}
	k := s.k
	k.mu.Lock()
	k.view.ApplyDiscovery(s.service, list, full, k.millis())
	k.mu.Unlock()
	s.pass()
	ring(k.notice)
	ring(k.dirty)
}

// EndpointWatchFailed passes it on.
func (s *Subscription) EndpointWatchFailed(f node.WatchFailure) { s.core.EndpointWatchFailed(f) }

// pass gives cores their lists anew, if they have changed.
func (k *Cache) pass(service string) {
	k.mu.Lock()
	var to []*Subscription
	for name, s := range k.sinks {
		if service == "" || name == service {
			to = append(to, s)
		}
	}
	k.mu.Unlock()
	for _, s := range to {
		s.pass()
	}
}

func (s *Subscription) pass() {
	s.order.Lock()
	defer s.order.Unlock()
	k := s.k
	k.mu.Lock()
	list := k.view.Servers(s.service, k.millis())
	k.mu.Unlock()
	entries := make([]node.Endpoint, 0, len(list))
	for _, l := range list {
		e := node.Endpoint{ID: l.ID, Addr: l.Addr, Zone: l.Zone, Cell: l.Cell, Weight: max(l.Weight, 0.01), State: decide.Ready, Revision: l.ListRevision}
		if l.Phase != "ready" {
			e.State = decide.Draining
		}
		if l.Start > 0 {
			e.StartedAt = time.UnixMilli(l.Start)
		}
		entries = append(entries, e)
	}
	text, _ := json.Marshal(entries)
	if string(text) == s.last {
		return
	}
	s.last = string(text)
	s.core.UpdateEndpoints(entries, true)
}

// Status is what the status page shows.
type Status struct {
	Store                string           `json:"store"`
	SyncState            string           `json:"standing"`
	Error                string           `json:"fault,omitempty"`
	Epoch                string           `json:"epoch"`
	Revision             int64            `json:"revision"`
	SecondsSinceContact  float64          `json:"heard_seconds_ago"`
	Pending              int              `json:"waiting"`
	Dropped              int              `json:"dropped"`
	Written              int              `json:"written"`
	SecondsSinceSnapshot float64          `json:"snapshot_seconds_ago"`
	Entries              int              `json:"facts"`
	Draining             []DrainingServer `json:"drained"`
	Required             bool             `json:"required"`
	MaxStaleness         string           `json:"most_age"`
	MaxPending           int              `json:"queue"`
}

// DrainingServer is one drained server.
type DrainingServer struct {
	Server string `json:"server"`
	Reason string `json:"why"`
}

// Status tells how the record stands.
func (k *Cache) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	v := k.view
	s := Status{Store: k.c.Store, SyncState: v.SyncState.String(), Error: k.fault, Epoch: v.Meta.Epoch, Revision: v.Meta.Revision,
		SecondsSinceContact: now.Sub(time.UnixMilli(v.LastContact)).Seconds(), Pending: v.PendingCount(), Dropped: v.Dropped, Written: k.wrote, SecondsSinceSnapshot: -1, Draining: []DrainingServer{},
		Required: k.c.Required, MaxStaleness: k.c.MaxStaleness.String(), MaxPending: k.c.MaxPending}
	if v.LastContact == 0 {
		s.SecondsSinceContact = -1
	}
	if !k.saved.IsZero() {
		s.SecondsSinceSnapshot = now.Sub(k.saved).Seconds()
	}
	for _, kind := range record.Kinds {
		s.Entries += len(v.Entries(kind))
	}
	for name := range k.sinks {
		for _, l := range v.Servers(name, k.millis()) {
			if l.Reason != "" {
				s.Draining = append(s.Draining, DrainingServer{name + "/" + l.ID, l.Reason})
			}
		}
	}
	return s
}

// ServeStatus shows the status on a listener until that is closed. net/http would cost the node a megabyte for it.
func (k *Cache) ServeStatus(ln net.Listener) {
	var all sync.WaitGroup
	defer all.Wait()
	places := make(chan struct{}, 8)
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			defer c.Close()
			k.show(c)
		})
	}
}

func (k *Cache) show(c net.Conn) {
	c.SetDeadline(time.Now().Add(2 * time.Second))
	q, err := httpwire.NewReader(c, httpwire.Sizes{BufferSize: 1024, ReadSize: 256, MaxHead: 4096, MaxBody: 0, MaxChunkLine: 64}).ReadRequest()
	a := httpwire.ClientResponse{Status: 404, Close: true}
	switch {
	case err != nil:
		a.Status = 400
	case q.Path == "/record" && q.Verb == "GET":
		body, err := json.MarshalIndent(k.Status(), "", "  ")
		if a.Status = 500; err == nil {
			a = httpwire.ClientResponse{Status: 200, ContentType: "application/json", Body: append(body, '\n'), Close: true}
		}
	}
	c.Write(append(a.AppendHead(nil), a.Body...))
}
