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

// requiredKinds have to be listed before anything is published: servers of half a view may be draining in its other
// half.
var requiredKinds = []string{kindEndpointSlices, kindPods, kindNodes, kindLeases}

const (
	minWatchBackoff = 10 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
	// watchBackoffReset is how long a watch has to last for the next one to begin with the least backoff.
	watchBackoffReset = time.Second
)

// eventType is what became of an object.
type eventType int

const (
	objectUpdated eventType = iota // it was added, changed, or listed
	objectDeleted                  // a watch event says that it was deleted
	objectMissing                  // a list lacks it: it was deleted while nobody watched, or the list is incomplete
)

// eventHandler takes what became of one object.
type eventHandler func(key string, object any, event eventType)

// followCluster starts a reflector for each kind of object that servers are made of.
func (c *Controller) followCluster(ctx context.Context) {
	follow := func(client rest.Interface, kind, namespace string, example any, handle eventHandler) {
		source := cache.NewListWatchFromClient(client, kind, namespace, fields.Everything())
		c.follow(ctx, kind, source, example, handle)
	}
	namespace := c.config.Namespace
	follow(c.clients.discovery, kindEndpointSlices, namespace, &discovery.EndpointSlice{}, c.handleEndpointSlice)
	follow(c.clients.core, kindPods, namespace, &core.Pod{}, c.handlePod)
	follow(c.clients.core, kindNodes, core.NamespaceAll, &core.Node{}, c.handleNode)
	follow(c.clients.coordination, kindLeases, namespace, &coordination.Lease{}, c.handleLease)
}

// follow starts a reflector of one kind, which ends with the context.
func (c *Controller) follow(
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

// runReflector begins a watch that ended again. The first attempt comes almost at once, since events may be missed
// meanwhile; after failures the backoff grows.
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

// eventStore is the store that a reflector fills. It calls the kind's handler for each object that comes in.
type eventStore struct {
	cache.Store
	controller *Controller
	kind       string
	handle     eventHandler

	// version is the latest resource version of a list or an event. Only the reflector's goroutine uses it.
	version uint64
}

// Add takes a watch event.
func (s *eventStore) Add(object any) error { return s.take(object, objectUpdated, s.Store.Add) }

// Update takes a watch event.
func (s *eventStore) Update(object any) error { return s.take(object, objectUpdated, s.Store.Update) }

// Delete takes a watch event.
func (s *eventStore) Delete(object any) error { return s.take(object, objectDeleted, s.Store.Delete) }

func (s *eventStore) take(object any, event eventType, store func(any) error) error {
	s.controller.markConnected(s.kind)
	if s.isStale(object) {
		return nil
	}
	s.dispatch(object, event)
	return store(object)
}

// Replace takes a list. Objects that it lacks are missing.
func (s *eventStore) Replace(list []any, resourceVersion string) error {
	// The list's version counts also where it is older than the latest: the API may have been restored from a backup.
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

// isStale reports whether an event is older than the latest one. A watch sends a kind's events in the order of their
// versions, so one that was resumed at the wrong place sends old ones again, by which a server that has just begun to
// drain would come back. Versions are integers that rise; an object with any other version is taken as it comes.
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
