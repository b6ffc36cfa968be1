package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/apis/meta/v1/unstructured"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/runtime/schema"
	"k8s.io/apimachinery/pkg/types"
	"k8s.io/apimachinery/pkg/watch"
	"k8s.io/client-go/dynamic"
	"k8s.io/client-go/tools/cache"

	"robincart/internal/controlplane/desiredstate"
	"robincart/internal/controlplane/fanout"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// settings is the custom resource that wishes stand in: deploy/kubernetes/settings.yaml.
var settings = schema.GroupVersionResource{Group: "robincart.dev", Version: "v1", Resource: "settings"}

const (
	wishEvery = time.Second     // between looks at the record
	wishCall  = 5 * time.Second // for one call to it, or to the API
	nodesAge  = 5 * time.Second // that the count of nodes in a status may be old: it changes with every deploy
	factsMost = 100_000
)

// wish is one object, and the status that the API has of it.
type wish struct {
	desiredstate.Object
	namespace, name string
	has             desiredstate.Status
}

// book is what the leader makes of wishes: facts of the record, and statuses.
type book struct {
	k     *Controller
	store store.Store
	api   dynamic.NamespaceableResourceInterface
	boot  string
	stir  chan struct{}

	// Run's alone:
	counted time.Time // the nodes in statuses
	count   int       // of marks

	// Guarded by the controller's mutex:
	all   map[string]wish
	fault string
}

func newBook(k *Controller, s store.Store) (*book, error) {
	d, err := dynamic.NewForConfig(k.c.API)
	if err != nil {
		return nil, fmt.Errorf("the API's client: %w", err)
	}
	return &book{k: k, store: s, api: d.Resource(settings), boot: strconv.FormatUint(rand.Uint64(), 36), stir: make(chan struct{}, 1), all: map[string]wish{}}, nil
}

// lists is what the reflector follows.
func (b *book) lists() cache.ListerWatcher {
	of := b.api.Namespace(b.k.c.Namespace)
	return &cache.ListWatch{
		ListWithContextFunc: func(ctx context.Context, o metav1.ListOptions) (runtime.Object, error) { return of.List(ctx, o) },
		WatchFuncWithContext: func(ctx context.Context, o metav1.ListOptions) (watch.Interface, error) {
			return of.Watch(ctx, o)
		}}
}

// hear takes one object, or its end.
func (b *book) hear(key string, x any, gone bool) {
	u, ok := x.(*unstructured.Unstructured)
	b.k.mu.Lock()
	defer b.k.mu.Unlock()
	if gone || !ok {
		delete(b.all, key)
	} else {
		w := wish{namespace: u.GetNamespace(), name: u.GetName(), Object: desiredstate.Object{Key: key, UID: string(u.GetUID()), Generation: u.GetGeneration(),
			CreatedAt: u.GetCreationTimestamp().UnixMilli()}}
		if err := into(u.Object["spec"], &w.Spec); err != nil {
			w.Malformed = err.Error()
		}
		if into(u.Object["status"], &w.has) != nil {
			w.has = desiredstate.Status{Generation: -1}
		}
		b.all[key] = w
	}
	select {
	case b.stir <- struct{}{}:
	default:
	}
}

func into(from, to any) error {
	text, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, to)
}

// run keeps the record as it is wished for, while this replica leads.
func (b *book) run(ctx context.Context) {
	tick := time.NewTicker(wishEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.stir:
		case <-tick.C:
		}
		b.k.mu.Lock()
		leads, whole := b.k.leads, b.k.synced[settings.Resource]
		objects, has := make([]desiredstate.Object, 0, len(b.all)), make(map[string]wish, len(b.all))
		for key, w := range b.all {
			objects, has[key] = append(objects, w.Object), w
		}
		b.k.mu.Unlock()
		if !leads || !whole {
			continue
		}
		if err := b.fulfil(ctx, objects, has); ctx.Err() == nil {
			b.failed(err)
		}
	}
}

// fulfil is one turn: the record is read, what is lacking is written, and each object hears how it stands. What another writer
// changes meanwhile loses nothing: the next turn finds it.
func (b *book) fulfil(ctx context.Context, objects []desiredstate.Object, has map[string]wish) error {
	facts, meta, err := b.read(ctx)
	if err != nil {
		return err
	}
	mark := func() string {
		b.count++
		return b.k.c.Identity + "." + b.boot + "." + strconv.Itoa(b.count)
	}
	changes, told := desiredstate.Reconcile(objects, true, facts, meta.Epoch, mark)
	for i := range changes {
		changes[i].WrittenAt = time.Now().UnixMilli()
		call, cancel := context.WithTimeout(ctx, wishCall)
		_, _, bad := b.store.Write(call, meta.Epoch, changes[i:i+1])
		cancel()
		var lost *record.ConflictError
		if bad != nil && !errors.As(bad, &lost) {
			err = errors.Join(err, fmt.Errorf("%s %s: %w", changes[i].Kind, changes[i].Name, bad))
		}
	}
	if len(changes) > 0 && err == nil { // what was written is told at once
		if facts, meta, err = b.read(ctx); err == nil {
			_, told = desiredstate.Reconcile(objects, true, facts, meta.Epoch, mark)
		}
	}
	count := time.Since(b.counted) >= nodesAge
	if count {
		b.counted = time.Now()
	}
	for key, s := range told {
		w := has[key]
		if l := b.k.listOf(w.Spec); l != nil && count {
			st := l.Status()
			s.Nodes, s.ListRevision = st.Watchers, st.Revision
		} else if l != nil {
			s.Nodes, s.ListRevision = w.has.Nodes, w.has.ListRevision
		}
		if s == w.has {
			continue
		}
		body, bad := json.Marshal(map[string]any{"status": fields(s)})
		if bad == nil {
			call, cancel := context.WithTimeout(ctx, wishCall)
			_, bad = b.api.Namespace(w.namespace).Patch(call, w.name, types.MergePatchType, body, metav1.PatchOptions{}, "status")
			cancel()
		}
		if bad != nil {
			err = errors.Join(err, fmt.Errorf("the status of %s: %w", key, bad))
		}
	}
	return err
}

// fields are a status with what is empty taken out of the object, too: a patch leaves what it does not name.
func fields(s desiredstate.Status) map[string]any {
	out := map[string]any{"accepted": s.Accepted, "observedGeneration": s.Generation, "reason": nil, "recordRevision": nil, "recordEpoch": nil, "nodes": nil, "listRevision": nil}
	if s.ListRevision > 0 {
		out["nodes"], out["listRevision"] = s.Nodes, s.ListRevision
	}
	if s.Reason != "" {
		out["reason"] = s.Reason
	}
	if s.Accepted {
		out["recordRevision"], out["recordEpoch"] = s.Revision, s.Epoch
	}
	return out
}

// listOf is the list that a service's wish is about, if this controller tells it.
func (k *Controller) listOf(s desiredstate.Spec) *fanout.List {
	i := slices.IndexFunc(k.c.Services, func(x Service) bool { return s.Kind == string(record.KindService) && x.ListName == s.Name })
	if i < 0 {
		return nil
	}
	return k.lists[k.c.Services[i].ServiceName]
}

// read is the whole record, at one epoch.
func (b *book) read(ctx context.Context) (facts []record.Entry, meta record.Meta, err error) {
	call, cancel := context.WithTimeout(ctx, wishCall)
	defer cancel()
	const page = 2000
	for after := int64(0); ; {
		p, err := b.store.Since(call, after, page)
		if err != nil {
			return nil, meta, err
		}
		if len(facts) > 0 && p.Meta.Epoch != meta.Epoch {
			return nil, meta, record.ErrEpochMismatch
		}
		meta, facts = p.Meta, append(facts, p.Entries...)
		if len(p.Entries) < page {
			return facts, meta, nil
		}
		if after = p.Entries[page-1].Revision; len(facts) > factsMost {
			return nil, meta, fmt.Errorf("the record has more than %d facts", factsMost)
		}
	}
}

// failed notes what a turn could not do; the log tells of changes.
func (b *book) failed(err error) {
	b.k.mu.Lock()
	defer b.k.mu.Unlock()
	switch {
	case err == nil && b.fault != "":
		b.k.log.Info("the record follows the settings again")
		b.fault = ""
	case err != nil && b.fault != err.Error():
		if b.fault == "" {
			b.k.log.Error("the record can't follow the settings; nodes go on with what it has", zap.Error(err))
		}
		b.fault = err.Error()
	}
}
