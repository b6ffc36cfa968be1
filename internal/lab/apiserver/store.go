package apiserver

import (
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"time"
)

// The types of events.
const (
	eventAdded    = "ADDED"
	eventModified = "MODIFIED"
	eventDeleted  = "DELETED"
	eventBookmark = "BOOKMARK"
	eventError    = "ERROR"
)

const (
	// maxEvents is how many events of a resource are known at most; once there are more, the oldest compactedEvents are
	// forgotten.
	maxEvents       = 20_000
	compactedEvents = 5_001
)

// event is one change of an object.
type event struct {
	revision int64
	kind     string
	object   Object
}

// store has the objects of one resource and their history. Objects are replaced and never changed in place.
type store struct {
	objects     map[string]Object // by objectKey
	events      []event
	compactedTo int64         // the events up to this revision are forgotten
	eventDelay  time.Duration // before events are sent to watches
}

// eventsSince are the events after a revision.
func (s *store) eventsSince(revision int64) []event {
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].revision > revision })
	return slices.Clone(s.events[first:])
}

// add adds an event.
func (s *store) add(e event) {
	s.events = append(s.events, e)
	if len(s.events) > maxEvents {
		s.compactedTo = s.events[compactedEvents-1].revision
		s.events = slices.Clone(s.events[compactedEvents:])
	}
}

// Set creates an object or replaces it, as the parts of a cluster do.
func (s *Server) Set(resource string, o Object) Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(resource, o)
}

// set creates or replaces an object. The mutex is held.
func (s *Server) set(resource string, given Object) Object {
	o := clone(given)
	r, stored := resourceNamed(resource), s.stores[resource]
	o["apiVersion"], o["kind"] = r.apiVersion(), r.kind
	s.revision++
	fields := metadata(o)
	fields["resourceVersion"] = formatRevision(s.revision)
	old, known := stored.objects[keyOf(o)]
	if r.group == settingsGroup {
		fields["generation"] = generation(old, o)
	}
	kind := eventAdded
	if known {
		kind = eventModified
	}
	s.setIdentity(fields, old)
	stored.objects[keyOf(o)] = o
	s.publish(stored, event{revision: s.revision, kind: kind, object: o})
	return o
}

// setIdentity sets what an object has from its creation on. The old object is nil for a new one.
func (s *Server) setIdentity(fields map[string]any, old Object) {
	if stringField(fields, "uid") == "" {
		if old != nil {
			fields["uid"] = metadata(old)["uid"]
		} else {
			fields["uid"] = fmt.Sprintf("uid-%d", s.revision)
		}
	}
	if old == nil && stringField(fields, "creationTimestamp") == "" {
		fields["creationTimestamp"] = time.Now().UTC().Format(time.RFC3339)
	}
}

// generation counts the changes of a custom resource's spec. The old object is nil for a new one.
func generation(old, o Object) float64 {
	if old == nil {
		return 1
	}
	count, _ := metadata(old)["generation"].(float64)
	if !reflect.DeepEqual(old["spec"], o["spec"]) {
		count++
	}
	return count
}

// Delete deletes an object.
func (s *Server) Delete(resource, namespace, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, key := s.stores[resource], objectKey(namespace, name)
	o, known := stored.objects[key]
	if !known {
		return
	}
	delete(stored.objects, key)
	o = clone(o)
	s.revision++
	metadata(o)["resourceVersion"] = formatRevision(s.revision)
	s.publish(stored, event{revision: s.revision, kind: eventDeleted, object: o})
}

// Get returns an object; nil if there is none.
func (s *Server) Get(resource, namespace, name string) Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.stores[resource].objects[objectKey(namespace, name)]
	if !known {
		return nil
	}
	return clone(o)
}

// publish adds an event and wakes the watches. The mutex is held.
func (s *Server) publish(stored *store, e event) {
	stored.add(e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func formatRevision(revision int64) string { return strconv.FormatInt(revision, 10) }
