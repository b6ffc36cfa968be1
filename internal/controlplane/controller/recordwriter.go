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
	// reconcileInterval is the interval between reconciliations of the record. The record is reconciled even if no
	// Setting object has changed, since other writers change the record, too.
	reconcileInterval = time.Second
	// storeCallTimeout bounds one call to the record store.
	storeCallTimeout = 5 * time.Second
	// nodeCountInterval is the interval at which the node count in the Settings' statuses is updated. The count changes
	// with every deployment and each update costs one patch request, so the count is not updated on every change.
	nodeCountInterval = 5 * time.Second

	recordPageSize   = 2000
	maxRecordEntries = 100_000
)

// recordWriter writes the entries that Setting objects define to the record, and publishes the result in the status of
// each object. recordWriter is level-triggered: each reconciliation compares all objects with the current record, and
// so corrects missed events and failed writes.
type recordWriter struct {
	controller *Controller
	store      store.Store
	api        dynamic.NamespaceableResourceInterface
	// instance distinguishes the idempotency keys of this process from those of other processes with the same identity.
	instance string
	changed  chan struct{} // signals that a setting has changed

	// Only the goroutine of the method run uses these fields.
	nodesCountedAt time.Time
	keysIssued     int

	// Guarded by the controller's mutex.
	settings  map[string]settingObject // by NAMESPACE/NAME
	lastError string                   // error of the last reconciliation; empty: it succeeded
}

func newRecordWriter(c *Controller, recordStore store.Store) (*recordWriter, error) {
	client, err := dynamic.NewForConfig(c.config.API)
	if err != nil {
		return nil, fmt.Errorf("create API client for settings: %w", err)
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

// startRecordWriter starts two goroutines: one watches Setting objects, and the other writes the entries that the
// objects define to the record while this replica leads.
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
	c.startReflector(ctx, kindSettings, source, example, writer.handleSetting)
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
		w.settings[key] = parseSetting(key, content)
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// run reconciles the record after each change of a setting and every reconcileInterval, until the context ends.
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
			w.updateLastError(err)
		}
	}
}

// snapshot returns the settings, and whether this replica may write their entries to the record: the replica must lead,
// and must have read the initial list of all settings.
func (w *recordWriter) snapshot() (map[string]settingObject, bool) {
	c := w.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(w.settings), c.leading && c.listed[kindSettings]
}

// reconcile reads the record, writes the changes that the settings require, and publishes the statuses of the settings.
// A concurrent change by another writer is detected by the next reconciliation.
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
	if len(changes) > 0 && err == nil { // publish the written revisions now, not after the next tick
		if entries, meta, err = w.readRecord(ctx); err == nil {
			_, statuses = desiredstate.Reconcile(objects, true, entries, meta.Epoch, w.newIdempotencyKey)
		}
	}
	return errors.Join(err, w.publishStatuses(ctx, settings, statuses))
}

// writeChanges writes each change in a call of its own, so that a failed write does not prevent the writes of the other
// changes.
func (w *recordWriter) writeChanges(ctx context.Context, epoch string, changes []record.Change) error {
	var failures []error
	for i := range changes {
		changes[i].WrittenAt = time.Now().UnixMilli()
		if err := w.writeChange(ctx, epoch, changes[i]); err != nil {
			failures = append(failures, fmt.Errorf("write %s %s: %w", changes[i].Kind, changes[i].Name, err))
		}
	}
	return errors.Join(failures...)
}

// writeChange writes one change. A conflict is not an error: another writer changed the entry first, and the next
// reconciliation reads the new value.
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

// publishStatuses patches the statuses that differ from the statuses in the API.
func (w *recordWriter) publishStatuses(
	ctx context.Context, settings map[string]settingObject, statuses map[string]desiredstate.Status,
) error {
	countNodes := time.Since(w.nodesCountedAt) >= nodeCountInterval
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
			failures = append(failures, fmt.Errorf("patch status of setting %s: %w", key, err))
		}
	}
	return errors.Join(failures...)
}

// withNodeCount adds the number of robincart nodes that watch a service's list, and the list's revision, to the
// service's status. If count is false, withNodeCount adds both values from the published status instead.
func (w *recordWriter) withNodeCount(
	status desiredstate.Status, setting settingObject, count bool,
) desiredstate.Status {
	list := w.controller.findList(setting.Spec)
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

// findList returns the list of the service that a setting defines, or nil if this controller does not publish that
// list.
func (c *Controller) findList(spec desiredstate.Spec) *fanout.List {
	if spec.Kind != string(record.KindService) {
		return nil
	}
	index := slices.IndexFunc(c.config.Services, func(service Service) bool { return service.ListName == spec.Name })
	if index < 0 {
		return nil
	}
	return c.lists[c.config.Services[index].ServiceName]
}

// newIdempotencyKey returns a key that is unique among the writes to the record.
func (w *recordWriter) newIdempotencyKey() string {
	w.keysIssued++
	return w.controller.config.Identity + "." + w.instance + "." + strconv.Itoa(w.keysIssued)
}

// readRecord reads all entries of the record, page by page. It fails if the epoch changes between two pages.
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
			return nil, record.Meta{}, fmt.Errorf(
				"read record: found at least %d entries, expected at most %d", len(entries), maxRecordEntries)
		}
		revision = page.Entries[recordPageSize-1].Revision
	}
}

// updateLastError stores the result of a reconciliation for the status page. It logs the first of several consecutive
// failures, and the first success after a failure.
func (w *recordWriter) updateLastError(err error) {
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
