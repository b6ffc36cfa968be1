package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
	"k8s.io/apimachinery/pkg/apis/meta/v1/unstructured"
	"k8s.io/client-go/dynamic"

	"robincart/internal/controlplane/desiredstate"
	"robincart/internal/controlplane/fanout"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

const (
	// reconcileInterval is the time between looks at the record, which other writers change too.
	reconcileInterval = time.Second
	// storeCallTimeout bounds one call to the store.
	storeCallTimeout = 5 * time.Second
	// nodeCountMaxAge is how old the number of nodes in a status may be: it changes with every deployment.
	nodeCountMaxAge = 5 * time.Second

	recordPageSize   = 2000
	maxRecordEntries = 100_000
)

// recordWriter writes what Setting objects define to the record, and reports to each object what became of it. It is
// level-triggered: each turn goes from all objects and the present record to what is missing, so a missed event or a
// failed write is made good by the next turn.
type recordWriter struct {
	controller *Controller
	store      store.Store
	api        dynamic.NamespaceableResourceInterface
	// instance distinguishes this process's idempotency keys from those of others with its identity.
	instance string
	changed  chan struct{} // a setting has changed

	// Used by run's goroutine only.
	nodesCountedAt time.Time
	keysIssued     int

	// Guarded by the controller's mutex.
	settings  map[string]settingObject // by NAMESPACE/NAME
	lastError string                   // why the last turn failed; empty: it did not
}

func newRecordWriter(c *Controller, recordStore store.Store) (*recordWriter, error) {
	client, err := dynamic.NewForConfig(c.config.API)
	if err != nil {
		return nil, fmt.Errorf("the API's client: %w", err)
	}
	return &recordWriter{
		controller: c,
		store:      recordStore,
		api:        client.Resource(settingsResource),
		instance:   strconv.FormatUint(rand.Uint64(), 36),
		changed:    make(chan struct{}, 1),
		settings:   make(map[string]settingObject),
	}, nil
}

// startRecordWriter follows Setting objects and writes them to the record while this replica leads.
func (c *Controller) startRecordWriter(ctx context.Context) error {
	writer, err := newRecordWriter(c, c.config.Store)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.recordWriter = writer
	c.mu.Unlock()
	source := newSettingsSource(writer.api.Namespace(c.config.Namespace))
	example := &unstructured.Unstructured{}
	example.SetAPIVersion(settingsResource.GroupVersion().String())
	example.SetKind("Setting")
	c.follow(ctx, kindSettings, source, example, writer.handleSetting)
	c.goroutines.Go(func() { writer.run(ctx) })
	return nil
}

func (w *recordWriter) handleSetting(key string, object any, event eventType) {
	content, ok := object.(*unstructured.Unstructured)
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	if event != objectUpdated || !ok {
		delete(w.settings, key)
	} else {
		w.settings[key] = settingOf(key, content)
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// run reconciles the record whenever a setting changes, and at intervals, until the context ends.
func (w *recordWriter) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.changed:
		case <-ticker.C:
		}
		settings, mayWrite := w.snapshot()
		if !mayWrite {
			continue
		}
		if err := w.reconcile(ctx, settings); ctx.Err() == nil {
			w.noteResult(err)
		}
	}
}

// snapshot returns the settings, and whether this replica may write them: it has to lead, and to have listed them all.
func (w *recordWriter) snapshot() (map[string]settingObject, bool) {
	c := w.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(w.settings), c.leading && c.listed[kindSettings]
}

// reconcile is one turn: it reads the record, writes what is missing, and publishes the settings' statuses. A change by
// another writer meanwhile is found by the next turn.
func (w *recordWriter) reconcile(ctx context.Context, settings map[string]settingObject) error {
	objects := make([]desiredstate.Object, 0, len(settings))
	for _, setting := range settings {
		objects = append(objects, setting.Object)
	}
	entries, meta, err := w.readRecord(ctx)
	if err != nil {
		return err
	}
	changes, statuses := desiredstate.Reconcile(objects, true, entries, meta.Epoch, w.newIdempotencyKey)
	err = w.writeChanges(ctx, meta.Epoch, changes)
	if len(changes) > 0 && err == nil { // report what was written without waiting for the next turn
		if entries, meta, err = w.readRecord(ctx); err == nil {
			_, statuses = desiredstate.Reconcile(objects, true, entries, meta.Epoch, w.newIdempotencyKey)
		}
	}
	return errors.Join(err, w.publishStatuses(ctx, settings, statuses))
}

// writeChanges writes each change by itself, so that one that fails keeps no other from being written.
func (w *recordWriter) writeChanges(ctx context.Context, epoch string, changes []record.Change) error {
	var failures []error
	for i := range changes {
		changes[i].WrittenAt = time.Now().UnixMilli()
		if err := w.writeChange(ctx, epoch, changes[i]); err != nil {
			failures = append(failures, fmt.Errorf("%s %s: %w", changes[i].Kind, changes[i].Name, err))
		}
	}
	return errors.Join(failures...)
}

// writeChange writes one change. A conflict is not an error: another writer was first, and the next turn reads what it
// wrote.
func (w *recordWriter) writeChange(ctx context.Context, epoch string, change record.Change) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, _, err := w.store.Write(ctx, epoch, []record.Change{change})
	var conflict *record.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// publishStatuses patches the statuses that differ from what the API has.
func (w *recordWriter) publishStatuses(
	ctx context.Context, settings map[string]settingObject, statuses map[string]desiredstate.Status,
) error {
	countNodes := time.Since(w.nodesCountedAt) >= nodeCountMaxAge
	if countNodes {
		w.nodesCountedAt = time.Now()
	}
	var failures []error
	for key, status := range statuses {
		setting := settings[key]
		status = w.withNodeCount(status, setting, countNodes)
		if status == setting.published {
			continue
		}
		if err := w.patchStatus(ctx, setting, status); err != nil {
			failures = append(failures, fmt.Errorf("the status of %s: %w", key, err))
		}
	}
	return errors.Join(failures...)
}

// withNodeCount adds to a service's status how many nodes follow its list, or what the API has of that if they are not
// to be counted now.
func (w *recordWriter) withNodeCount(
	status desiredstate.Status, setting settingObject, count bool,
) desiredstate.Status {
	list := w.controller.listOf(setting.Spec)
	if list == nil {
		return status
	}
	if !count {
		status.Nodes, status.ListRevision = setting.published.Nodes, setting.published.ListRevision
		return status
	}
	current := list.Status()
	status.Nodes, status.ListRevision = current.Watchers, current.Revision
	return status
}

// listOf returns the list of the service that a setting defines; nil: this controller publishes none.
func (c *Controller) listOf(spec desiredstate.Spec) *fanout.List {
	if spec.Kind != string(record.KindService) {
		return nil
	}
	index := slices.IndexFunc(c.config.Services, func(service Service) bool { return service.ListName == spec.Name })
	if index < 0 {
		return nil
	}
	return c.lists[c.config.Services[index].ServiceName]
}

// newIdempotencyKey returns a key that no other write to the record has.
func (w *recordWriter) newIdempotencyKey() string {
	w.keysIssued++
	return w.controller.config.Identity + "." + w.instance + "." + strconv.Itoa(w.keysIssued)
}

// readRecord reads all entries of the record, at one epoch.
func (w *recordWriter) readRecord(ctx context.Context) ([]record.Entry, record.Meta, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	var entries []record.Entry
	var meta record.Meta
	revision := int64(0)
	for {
		page, err := w.store.Since(ctx, revision, recordPageSize)
		if err != nil {
			return nil, record.Meta{}, err
		}
		if len(entries) > 0 && page.Meta.Epoch != meta.Epoch {
			return nil, record.Meta{}, record.ErrEpochMismatch
		}
		meta = page.Meta
		entries = append(entries, page.Entries...)
		if len(page.Entries) < recordPageSize {
			return entries, meta, nil
		}
		if len(entries) > maxRecordEntries {
			return nil, record.Meta{}, fmt.Errorf("the record has more than %d entries", maxRecordEntries)
		}
		revision = page.Entries[recordPageSize-1].Revision
	}
}

// noteResult keeps the result of a turn for the status page. The log gets the first failure and the recovery.
func (w *recordWriter) noteResult(err error) {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	failedBefore := w.lastError != ""
	if err == nil {
		w.lastError = ""
		if failedBefore {
			w.controller.log.Info("record sync restored")
		}
		return
	}
	w.lastError = err.Error()
	if !failedBefore {
		w.controller.log.Error("record sync failed", zap.Error(err))
	}
}
