package chaos

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"time"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

const (
	// The pauses between two drains, and until discovery forgets one.
	minDrainPause = 100 // milliseconds
	maxDrainPause = 300
	maxForgetting = 300
	// drainWriteTimeout bounds the write of a drain into the record.
	drainWriteTimeout = 2 * time.Second
	// drainWriter is the writer of all drains.
	drainWriter = "chaos"
)

// randomPause is a random time of whole milliseconds from minimum to below maximum.
func randomPause(random *rand.Rand, minimum, maximum int) time.Duration {
	return time.Duration(minimum+random.Intn(maximum-minimum)) * time.Millisecond
}

// playDrains drains servers, by the record and by discovery, which then forgets the drain. Once half of them are
// drained it starts new processes in their places.
func (r *Record) playDrains(ctx context.Context, database store.Store) {
	random := rand.New(rand.NewSource(r.Seed + 1))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(randomPause(random, minDrainPause, maxDrainPause))
		ready, drained := r.serversByState()
		if len(drained) > len(r.servers)/2 {
			r.replaceProcess(drained[random.Intn(len(drained))])
			continue
		}
		s := ready[random.Intn(len(ready))]
		if random.Intn(2) == 0 {
			r.drainByDiscovery(s, randomPause(random, 0, maxForgetting))
		} else {
			r.drainByRecord(ctx, database, s, n)
		}
	}
}

func (r *Record) serversByState() (ready, drained []*recordServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.drained {
			drained = append(drained, s)
		} else {
			ready = append(ready, s)
		}
	}
	return ready, drained
}

// replaceProcess starts a new process of a server that was drained.
func (r *Record) replaceProcess(s *recordServer) {
	r.mu.Lock()
	s.startTime += firstStartTime
	s.drained, s.knownSince, s.revision = false, map[int]time.Time{}, 0
	s.member.Phase, s.member.UpSince = "ready", s.startTime
	member := s.member
	r.mu.Unlock()
	r.discovery.Update(member)
	r.count("new processes")
}

// drainByDiscovery drains a server by discovery, which forgets the drain after a while.
func (r *Record) drainByDiscovery(s *recordServer, forgets time.Duration) {
	r.mu.Lock()
	s.drained = true
	member := s.member
	r.mu.Unlock()
	member.Phase = "draining"
	r.discovery.Update(member)
	time.Sleep(forgets)
	member.Phase = "ready"
	r.discovery.Update(member)
	r.count("drains by discovery, forgotten by it")
}

// drainByRecord writes the n-th drain into the record.
func (r *Record) drainByRecord(ctx context.Context, database store.Store, s *recordServer, n int) {
	revision, err := r.writeDrain(ctx, database, s, n)
	var stale *record.StaleError
	switch {
	case err == nil:
		r.mu.Lock()
		s.revision = revision
		r.mu.Unlock()
		r.count("drains by the record, acknowledged")
	case errors.As(err, &stale):
		r.count("drains that were known already")
	default:
		r.count("drains that the store did not acknowledge")
	}
}

// writeDrain writes a drain into the record and returns its revision.
func (r *Record) writeDrain(ctx context.Context, database store.Store, s *recordServer, n int) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, drainWriteTimeout)
	defer cancel()
	meta, err := database.Meta(ctx)
	if err != nil {
		return 0, err
	}
	drain := record.Drain{Start: s.startTime, Since: time.Now().UnixMilli(), By: drainWriter}
	value, err := json.Marshal(drain)
	if err != nil {
		return 0, err
	}
	change := record.Change{
		Key:              record.Key{Kind: record.KindDrain, Name: servicePrefix + s.id},
		ExpectedRevision: record.AnyRevision,
		Writer:           drainWriter,
		IdempotencyKey:   fmt.Sprint(drainWriter, n),
		Value:            value,
	}
	r.mu.Lock()
	s.drained = true // even if it is never known whether it was written
	r.mu.Unlock()
	entries, _, err := database.Write(ctx, meta.Epoch, []record.Change{change})
	if err != nil {
		return 0, err
	}
	return entries[0].Revision, nil
}
