package controller

import (
	"context"
	"math/rand"
	"strconv"
	"time"

	coordination "k8s.io/api/coordination/v1"
	core "k8s.io/api/core/v1"
	discovery "k8s.io/api/discovery/v1"
	"k8s.io/apimachinery/pkg/api/meta"
	"k8s.io/apimachinery/pkg/fields"
	"k8s.io/client-go/rest"
	"k8s.io/client-go/tools/cache"
)

// Kinds of objects, by the names of their resources in the API.
const (
	kindEndpointSlices = "endpointslices"
	kindPods           = "pods"
	kindNodes          = "nodes"
	kindLeases         = "leases"
)

// requiredKinds must all be listed before lists are published: a server that is ready according to one kind may be
// draining according to another.
var requiredKinds = []string{kindEndpointSlices, kindPods, kindNodes, kindLeases}

const (
	minWatchBackoff = 10 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
	// watchBackoffReset is how long a watch must last to reset the backoff to minWatchBackoff.
	watchBackoffReset = time.Second
)

// eventType says whether an object was updated, deleted or missing from a list.
type eventType int

const (
	objectUpdated eventType = iota // the object was added, changed or listed
	objectDeleted                  // a watch event reported the deletion of the object
	objectMissing                  // not in a list: the object was deleted between watches, or the list is incomplete
)

// eventHandler processes one event of an object.
type eventHandler func(key string, object any, event eventType)

// startClusterReflectors starts a reflector for each of requiredKinds.
func (c *Controller) startClusterReflectors(ctx context.Context) {
	start := func(client rest.Interface, kind, namespace string, example any, handle eventHandler) {
		source := cache.NewListWatchFromClient(client, kind, namespace, fields.Everything())
		c.startReflector(ctx, kind, source, example, handle)
	}
	namespace := c.config.Namespace
	start(c.clients.discovery, kindEndpointSlices, namespace, &discovery.EndpointSlice{}, c.handleEndpointSlice)
	start(c.clients.core, kindPods, namespace, &core.Pod{}, c.handlePod)
	start(c.clients.core, kindNodes, core.NamespaceAll, &core.Node{}, c.handleNode)
	start(c.clients.coordination, kindLeases, namespace, &coordination.Lease{}, c.handleLease)
}

// startReflector starts a reflector of the objects of one kind. The reflector ends when the context ends.
func (c *Controller) startReflector(
	ctx context.Context, kind string, source cache.ListerWatcher, example any, handle eventHandler,
) {
	target := &eventStore{
		Store:      cache.NewStore(cache.MetaNamespaceKeyFunc),
		controller: c,
		kind:       kind,
		handle:     handle,
	}
	options := cache.ReflectorOptions{Name: kind, TypeDescription: kind}
	reflector := cache.NewReflectorWithOptions(c.trackWatches(kind, source), example, target, options)
	c.goroutines.Go(func() { c.runReflector(ctx, kind, reflector) })
}

// runReflector runs a reflector and restarts it when it returns, until the context ends. The first restart comes after
// a short backoff, since no events are received during the backoff. The backoff doubles after each run that did not
// last longer than watchBackoffReset.
func (c *Controller) runReflector(ctx context.Context, kind string, reflector *cache.Reflector) {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		started := time.Now()
		err := reflector.ListAndWatchWithContext(ctx)
		if err != nil && ctx.Err() == nil {
			c.markDisconnected(kind, err)
		}
		backoff = min(2*backoff, maxWatchBackoff)
		if time.Since(started) > watchBackoffReset {
			backoff = minWatchBackoff
		}
		jittered := backoff/2 + time.Duration(rand.Int63n(int64(backoff)))
		select {
		case <-ctx.Done():
		case <-time.After(jittered):
		}
	}
}

// eventStore is the store that a reflector writes to. For each received object, it calls the handler of the kind.
type eventStore struct {
	cache.Store
	controller *Controller
	kind       string
	handle     eventHandler

	// version is the latest resource version of a list or an event. Only the reflector's goroutine uses it.
	version uint64
}

// Add applies a watch event for an added object.
func (s *eventStore) Add(object any) error { return s.applyEvent(object, objectUpdated, s.Store.Add) }

// Update applies a watch event for a changed object.
func (s *eventStore) Update(object any) error {
	return s.applyEvent(object, objectUpdated, s.Store.Update)
}

// Delete applies a watch event for a deleted object.
func (s *eventStore) Delete(object any) error {
	return s.applyEvent(object, objectDeleted, s.Store.Delete)
}

func (s *eventStore) applyEvent(object any, event eventType, store func(any) error) error {
	s.controller.markConnected(s.kind)
	if s.isStale(object) {
		return nil
	}
	s.dispatch(object, event)
	return store(object)
}

// Replace applies a list. Known objects that the list lacks are dispatched as missing.
func (s *eventStore) Replace(list []any, resourceVersion string) error {
	// Set the version even if it is lower than the version of the latest event: the API may have been restored from a
	// backup.
	s.version, _ = strconv.ParseUint(resourceVersion, 10, 64)
	s.dispatchMissing(list)
	for _, object := range list {
		s.dispatch(object, objectUpdated)
	}
	err := s.Store.Replace(list, resourceVersion)
	s.controller.markConnected(s.kind)
	s.controller.markListed(s.kind)
	return err
}

func (s *eventStore) dispatchMissing(list []any) {
	listed := make(map[string]bool, len(list))
	for _, object := range list {
		if key, err := cache.MetaNamespaceKeyFunc(object); err == nil {
			listed[key] = true
		}
	}
	for _, key := range s.Store.ListKeys() {
		if object, known, _ := s.Store.GetByKey(key); known && !listed[key] {
			s.dispatch(object, objectMissing)
		}
	}
}

func (s *eventStore) dispatch(object any, event eventType) {
	key, err := cache.DeletionHandlingMetaNamespaceKeyFunc(object)
	if err == nil {
		s.handle(key, object, event)
	}
}

// isStale reports whether the event of an object is older than the latest event or list. A watch sends the events of a
// kind in the order of their resource versions. A watch that was resumed at a wrong version can repeat old events,
// which would make a server that has just begun to drain ready again. Versions are integers that increase; if the
// version of an object is not an integer, isStale returns false.
func (s *eventStore) isStale(object any) bool {
	accessor, err := meta.Accessor(object)
	if err != nil {
		return false
	}
	version, err := strconv.ParseUint(accessor.GetResourceVersion(), 10, 64)
	if err != nil {
		return false
	}
	if version < s.version {
		return true
	}
	s.version = version
	return false
}
