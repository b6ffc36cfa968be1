package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"robincart/internal/controlplane/recordcache"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

const (
	// maxSettleTime bounds the time until all nodes are in step with the store at the end.
	maxSettleTime = 30 * time.Second
	// settlePollInterval is how often a node's status page is read until then.
	settlePollInterval = 50 * time.Millisecond
	// inStep is the state of a node that has all of the record.
	inStep = "follows"
	// allEntries is more than the record can have.
	allEntries = 1 << 20
)

// checkEnd waits until all nodes are in step with the store, and checks what they and the store know. It does so over a
// connection of its own and with all faults cleared: else the last fault could hit the check.
func (r *Record) checkEnd(ctx context.Context) error {
	if r.postgres != nil {
		r.postgres.ClearFaults()
	}
	database, err := sqlstore.Open(r.storeAddress)
	if err != nil {
		return err
	}
	defer database.Close()
	meta, err := database.Meta(ctx)
	if err != nil {
		return err
	}
	r.awaitInStep(meta.Revision)
	inconsistencies, err := database.Verify(ctx)
	if err != nil {
		return err
	}
	for _, inconsistency := range inconsistencies {
		r.reportBroken("the store: %s", inconsistency)
	}
	recorded, err := readDrains(ctx, database)
	if err != nil {
		return err
	}
	for i, n := range r.nodes {
		status, err := n.readStatus()
		if err != nil {
			return err
		}
		r.checkNode(i, drainingServers(status), recorded)
	}
	return nil
}

// awaitInStep waits until all nodes are in step with the store at a revision. A node that says that it follows the
// store may not have polled since the last drain.
func (r *Record) awaitInStep(revision int64) {
	deadline := time.Now().Add(maxSettleTime)
	for i, n := range r.nodes {
		for {
			status, err := n.readStatus()
			if err == nil && isInStep(status) && status.Revision >= revision {
				break
			}
			if time.Now().After(deadline) {
				r.reportBroken("n%d is not in step with the store: %+v, %v", i, status, err)
				break
			}
			time.Sleep(settlePollInterval)
		}
	}
}

func isInStep(status recordcache.Status) bool {
	return status.SyncState == inStep && status.Pending == 0 && status.Error == ""
}

// readDrains reads the drains in the record by server.
func readDrains(ctx context.Context, database store.Store) (map[string]record.Drain, error) {
	page, err := database.Since(ctx, 0, allEntries)
	if err != nil {
		return nil, err
	}
	drains := map[string]record.Drain{}
	for _, entry := range page.Entries {
		if entry.Kind != record.KindDrain || entry.Deleted {
			continue
		}
		var drain record.Drain
		if json.Unmarshal(entry.Value, &drain) == nil {
			drains[strings.TrimPrefix(entry.Name, servicePrefix)] = drain
		}
	}
	return drains, nil
}

// checkNode checks that a node and the store know of every drain that they have acknowledged, and of no other.
func (r *Record) checkNode(i int, shown map[string]bool, recorded map[string]record.Drain) {
	r.mu.Lock()
	servers := make([]recordServer, 0, len(r.servers))
	for _, s := range r.servers {
		servers = append(servers, *s)
	}
	r.mu.Unlock()
	for _, s := range servers {
		acknowledged := s.revision > 0
		_, known := s.knownSince[i]
		drain, present := recorded[s.id]
		if (acknowledged || known) && !shown[s.id] {
			r.mu.Lock()
			history := r.drainHistory(i, &s)
			r.mu.Unlock()
			r.reportBroken("n%d has lost the drain of %s: %s, the record has %+v", i, s.id, history, drain)
		}
		if acknowledged && (!present || drain.Start < s.startTime) {
			r.reportBroken("the store has lost the drain of %s, acknowledged at revision %d", s.id, s.revision)
		}
		if !s.drained && shown[s.id] {
			r.reportBroken("n%d takes the new process of %s for the old one", i, s.id)
		}
	}
}

// drainHistory returns what is known of a server's drain at a node, in seconds since the begin: the process that was
// drained, who has acknowledged the drain, and when the node was killed and ready again. The mutex is held.
func (r *Record) drainHistory(i int, s *recordServer) string {
	known := "the node never had to know of it"
	if since, ok := s.knownSince[i]; ok {
		known = fmt.Sprintf("the node had to know of it from %.3f s", since.Sub(r.begin).Seconds())
	}
	var downs []string
	for _, at := range r.nodes[i].downs {
		downs = append(downs, fmt.Sprintf("%.3f", at.Sub(r.begin).Seconds()))
	}
	return fmt.Sprintf("process %d, acknowledged at revision %d, %s, killed and ready again at %v s",
		s.startTime, s.revision, known, downs)
}
