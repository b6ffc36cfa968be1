// Package apiserver stands in for the cluster manager's API server: the published HTTP API, in JSON, for the kinds that the
// controller uses and no other. By order it fails as such servers do.
package apiserver

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is one object as JSON has it.
type Object map[string]any

// Kind is one resource that is served.
type Kind struct {
	Group, Version, Resource, Kind string
	Namespaced                     bool
}

// Kinds are those.
var Kinds = []Kind{
	{"discovery.k8s.io", "v1", "endpointslices", "EndpointSlice", true},
	{"", "v1", "pods", "Pod", true},
	{"", "v1", "nodes", "Node", false},
	{"coordination.k8s.io", "v1", "leases", "Lease", true},
	{"robincart.dev", "v1", "settings", "Setting", true},
}

type event struct {
	revision int64
	kind     string // ADDED, MODIFIED, DELETED
	object   Object
}

type store struct {
	objects map[string]Object // by namespace/name
	events  []event
	from    int64 // events at and before it are compacted
	delay   time.Duration
}

// Server is the stand-in.
type Server struct {
	Token string        // that callers have to show; empty: none
	Drift time.Duration // of its clock

	mu       sync.Mutex
	revision int64
	kinds    map[string]*store
	wake     chan struct{}
	watches  map[*watch]struct{}
	hung     chan struct{}
	limited  int // requests to answer with 429
	broken   int // with 500
	backup   *Server
	counts   map[string]int

	ln  net.Listener
	srv *http.Server
	end sync.WaitGroup
}

type watch struct {
	resource string
	cut      context.CancelFunc
	again    chan []event
}

// Start listens; with a configuration it speaks TLS.
func Start(addr string, keys *tls.Config) (*Server, error) {
	s := &Server{revision: 1000, kinds: map[string]*store{}, wake: make(chan struct{}), watches: map[*watch]struct{}{}, counts: map[string]int{}}
	for _, k := range Kinds {
		s.kinds[k.Resource] = &store{objects: map[string]Object{}, from: 1000}
	}
	var err error
	if s.ln, err = net.Listen("tcp", addr); err != nil {
		return nil, err
	}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.handle), TLSConfig: keys, ReadHeaderTimeout: 5 * time.Second}
	s.end.Go(func() {
		if keys != nil {
			s.srv.ServeTLS(s.ln, "", "")
		} else {
			s.srv.Serve(s.ln)
		}
	})
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop ends it.
func (s *Server) Stop() {
	s.Hang(false)
	s.srv.Close()
	s.end.Wait()
}

func meta(o Object) map[string]any {
	m, _ := o["metadata"].(map[string]any)
	if m == nil {
		m = map[string]any{}
		o["metadata"] = m
	}
	return m
}

func text(m map[string]any, k string) string { v, _ := m[k].(string); return v }

func key(o Object) string { return text(meta(o), "namespace") + "/" + text(meta(o), "name") }

func clone(o Object) Object {
	b, _ := json.Marshal(o)
	var out Object
	json.Unmarshal(b, &out)
	return out
}

func kindOf(resource string) Kind {
	i := slices.IndexFunc(Kinds, func(k Kind) bool { return k.Resource == resource })
	return Kinds[i]
}

func (k Kind) api() string {
	if k.Group == "" {
		return k.Version
	}
	return k.Group + "/" + k.Version
}

// Set makes an object or changes it, as the cluster manager's own parts do.
func (s *Server) Set(resource string, o Object) Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(resource, o)
}

func (s *Server) set(resource string, o Object) Object {
	o = clone(o)
	k, st := kindOf(resource), s.kinds[resource]
	o["apiVersion"], o["kind"] = k.api(), k.Kind
	s.revision++
	m := meta(o)
	m["resourceVersion"] = strconv.FormatInt(s.revision, 10)
	what := "MODIFIED"
	old, ok := st.objects[key(o)]
	if k.Group == "robincart.dev" { // custom resources with a status: the spec's changes are counted
		gen := 0.0
		if ok {
			gen, _ = meta(old)["generation"].(float64)
		}
		was, _ := json.Marshal(old["spec"])
		if is, _ := json.Marshal(o["spec"]); !ok || string(was) != string(is) {
			gen++
		}
		m["generation"] = gen
	}
	if !ok {
		what = "ADDED"
		if text(m, "uid") == "" {
			m["uid"] = fmt.Sprintf("uid-%d", s.revision)
		}
		if text(m, "creationTimestamp") == "" {
			m["creationTimestamp"] = time.Now().Add(s.Drift).UTC().Format(time.RFC3339)
		}
	} else if text(m, "uid") == "" {
		m["uid"] = meta(old)["uid"]
	}
	st.objects[key(o)] = o
	s.told(st, event{s.revision, what, o})
	return o
}

// Delete takes an object away.
func (s *Server) Delete(resource, namespace, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.kinds[resource]
	o, ok := st.objects[namespace+"/"+name]
	if !ok {
		return
	}
	delete(st.objects, namespace+"/"+name)
	o = clone(o)
	s.revision++
	meta(o)["resourceVersion"] = strconv.FormatInt(s.revision, 10)
	s.told(st, event{s.revision, "DELETED", o})
}

// Get reads one; nil if there is none.
func (s *Server) Get(resource, namespace, name string) Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[resource].objects[namespace+"/"+name]; ok {
		return clone(o)
	}
	return nil
}

func (s *Server) told(st *store, e event) {
	if st.events = append(st.events, e); len(st.events) > 20_000 {
		st.from = st.events[5000].revision
		st.events = slices.Clone(st.events[5001:])
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

// BreakWatches ends all watches.
func (s *Server) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		w.cut()
	}
}

// Replay tells every watch of a resource its last events once more, the oldest first, as they were.
func (s *Server) Replay(resource string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ev := s.kinds[resource].events
	ev = slices.Clone(ev[max(0, len(ev)-n):])
	for w := range s.watches {
		if w.resource == resource {
			select {
			case w.again <- ev:
			default:
			}
		}
	}
}

// Compact forgets the history: who asks for older events gets 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.kinds {
		st.events, st.from = nil, s.revision
	}
}

// Hang keeps every request and watch waiting, until it is called with false.
func (s *Server) Hang(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.hung == nil {
		s.hung = make(chan struct{})
	} else if !on && s.hung != nil {
		close(s.hung)
		s.hung = nil
	}
}

// Limit answers the next requests with 429.
func (s *Server) Limit(n int) { s.mu.Lock(); s.limited = n; s.mu.Unlock() }

// Fail answers the next requests with 500.
func (s *Server) Fail(n int) { s.mu.Lock(); s.broken = n; s.mu.Unlock() }

// Late tells a kind's events only after a while, so that events of several kinds come out of order.
func (s *Server) Late(resource string, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[resource].delay = by
}

// Backup keeps the present state; Restore goes back to it, resource versions included, as an operator who restores etcd does.
func (s *Server) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &Server{revision: s.revision, kinds: map[string]*store{}}
	for k, st := range s.kinds {
		b.kinds[k] = &store{objects: maps.Clone(st.objects), events: slices.Clone(st.events), from: st.from}
	}
	s.backup = b
}

// Restore does that, and ends all watches.
func (s *Server) Restore() {
	s.mu.Lock()
	if s.backup != nil {
		s.revision = s.backup.revision
		for k, st := range s.backup.kinds {
			s.kinds[k].objects, s.kinds[k].events, s.kinds[k].from = maps.Clone(st.objects), slices.Clone(st.events), st.from
		}
	}
	s.mu.Unlock()
	s.BreakWatches()
}

// Count is how many requests of a kind came: "GET pods", "WATCH pods".
func (s *Server) Count(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[what]
}

func (s *Server) fail(w http.ResponseWriter, code int, reason, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(Object{"kind": "Status", "apiVersion": "v1", "status": "Failure", "reason": reason, "message": message, "code": code})
}

// path takes a request's path apart: /api/v1/... or /apis/GROUP/VERSION/..., with a namespace or without.
func path(p string) (k Kind, namespace, name, sub string, ok bool) {
	parts := strings.Split(strings.Trim(p, "/"), "/")
	group, version := "", ""
	switch {
	case len(parts) > 2 && parts[0] == "api":
		version, parts = parts[1], parts[2:]
	case len(parts) > 3 && parts[0] == "apis":
		group, version, parts = parts[1], parts[2], parts[3:]
	default:
		return
	}
	if len(parts) > 2 && parts[0] == "namespaces" {
		namespace, parts = parts[1], parts[2:]
	}
	i := slices.IndexFunc(Kinds, func(k Kind) bool { return k.Group == group && k.Version == version && k.Resource == parts[0] })
	if i < 0 || len(parts) > 3 {
		return
	}
	if len(parts) > 1 {
		name = parts[1]
	}
	if len(parts) > 2 {
		sub = parts[2]
	}
	return Kinds[i], namespace, name, sub, true
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Date", time.Now().Add(s.Drift).UTC().Format(http.TimeFormat))
	s.mu.Lock()
	hung := s.hung
	limited, broken := s.limited > 0, s.broken > 0
	if limited {
		s.limited--
	} else if broken {
		s.broken--
	}
	s.mu.Unlock()
	if hung != nil {
		select {
		case <-hung:
		case <-r.Context().Done():
			return
		}
	}
	if s.Token != "" && r.Header.Get("Authorization") != "Bearer "+s.Token {
		s.fail(w, 401, "Unauthorized", "Unauthorized")
		return
	}
	k, namespace, name, sub, ok := path(r.URL.Path)
	q := r.URL.Query()
	follows := q.Get("watch") == "true" || q.Get("watch") == "1"
	s.mu.Lock()
	s.counts[map[bool]string{true: "WATCH ", false: r.Method + " "}[follows]+k.Resource]++
	s.mu.Unlock()
	switch {
	case limited:
		w.Header().Set("Retry-After", "1")
		s.fail(w, 429, "TooManyRequests", "too many requests, please try again later")
	case broken:
		s.fail(w, 500, "InternalError", "as ordered")
	case !ok:
		s.fail(w, 404, "NotFound", "the server could not find the requested resource")
	case follows && q.Get("sendInitialEvents") == "true":
		s.fail(w, 422, "Invalid", "sendInitialEvents is not known here")
	case follows:
		s.watch(w, r, k, namespace)
	case r.Method == "GET" && name == "":
		s.list(w, r, k, namespace)
	default:
		s.one(w, r, k, namespace, name, sub)
	}
}

func selects(r *http.Request, o Object) bool {
	labels, _ := meta(o)["labels"].(map[string]any)
	for part := range strings.SplitSeq(r.URL.Query().Get("labelSelector"), ",") {
		name, value, equal := strings.Cut(part, "=")
		if name == "" {
			continue
		}
		v, has := labels[name].(string)
		if !has || equal && v != strings.TrimPrefix(value, "=") {
			return false
		}
	}
	if f := r.URL.Query().Get("fieldSelector"); f != "" {
		if name, ok := strings.CutPrefix(f, "metadata.name="); ok && text(meta(o), "name") != name {
			return false
		}
	}
	return true
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, k Kind, namespace string) {
	s.mu.Lock()
	st := s.kinds[k.Resource]
	var keys []string
	for name, o := range st.objects {
		if (namespace == "" || text(meta(o), "namespace") == namespace) && selects(r, o) {
			keys = append(keys, name)
		}
	}
	sort.Strings(keys)
	revision := s.revision
	m := map[string]any{"resourceVersion": strconv.FormatInt(revision, 10)}
	if from := r.URL.Query().Get("continue"); from != "" { // REVISION:KEY
		rv, after, _ := strings.Cut(from, ":")
		at, _ := strconv.ParseInt(rv, 10, 64)
		if at < st.from {
			s.mu.Unlock()
			s.fail(w, 410, "Expired", "the provided continue parameter is too old")
			return
		}
		m["resourceVersion"] = rv
		keys = keys[sort.SearchStrings(keys, after+"\x00"):]
	}
	if n, _ := strconv.Atoi(r.URL.Query().Get("limit")); n > 0 && len(keys) > n {
		keys = keys[:n]
		m["continue"] = fmt.Sprintf("%v:%s", m["resourceVersion"], keys[n-1])
	}
	items := make([]Object, 0, len(keys))
	for _, name := range keys {
		items = append(items, st.objects[name])
	}
	var b bytes.Buffer // objects are never changed in place, but the map of them is
	err := json.NewEncoder(&b).Encode(Object{"apiVersion": k.api(), "kind": k.Kind + "List", "metadata": m, "items": items})
	s.mu.Unlock()
	if err != nil {
		s.fail(w, 500, "InternalError", err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(b.Bytes())
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, k Kind, namespace string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil && r.URL.Query().Get("resourceVersion") != "" {
		s.fail(w, 400, "BadRequest", "resourceVersion is no number")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if n, _ := strconv.Atoi(r.URL.Query().Get("timeoutSeconds")); n > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(n)*time.Second)
		defer cancel()
	}
	me := &watch{k.Resource, cancel, make(chan []event, 4)}
	s.mu.Lock()
	st := s.kinds[k.Resource]
	if since == 0 {
		since = s.revision
	}
	expired, future := since < st.from, since > s.revision
	s.watches[me] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watches, me)
		s.mu.Unlock()
	}()
	if future { // as etcd after a restore
		s.fail(w, 504, "Timeout", "Too large resource version")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	flush := w.(http.Flusher)
	enc := json.NewEncoder(w)
	if expired {
		enc.Encode(Object{"type": "ERROR", "object": Object{"kind": "Status", "apiVersion": "v1", "status": "Failure", "reason": "Expired", "code": 410,
			"message": fmt.Sprintf("too old resource version: %d", since)}})
		return
	}
	flush.Flush()
	bookmarks := time.NewTicker(500 * time.Millisecond)
	defer bookmarks.Stop()
	for {
		s.mu.Lock()
		hung, delay, wake := s.hung, st.delay, s.wake
		var news []event
		i := sort.Search(len(st.events), func(i int) bool { return st.events[i].revision > since })
		news = append(news, st.events[i:]...)
		at := s.revision
		s.mu.Unlock()
		if hung != nil {
			select {
			case <-hung:
			case <-ctx.Done():
				return
			}
		}
		if len(news) > 0 && delay > 0 {
			select {
			case <-time.After(delay):
			case <-ctx.Done():
				return
			}
		}
		for _, e := range news {
			since = e.revision
			if (namespace == "" || text(meta(e.object), "namespace") == namespace) && selects(r, e.object) {
				if enc.Encode(Object{"type": e.kind, "object": e.object}) != nil {
					return
				}
			}
		}
		if len(news) > 0 {
			flush.Flush()
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case old := <-me.again:
			for _, e := range old {
				enc.Encode(Object{"type": e.kind, "object": e.object})
			}
			flush.Flush()
		case <-bookmarks.C:
			if r.URL.Query().Get("allowWatchBookmarks") == "true" {
				since = max(since, at)
				enc.Encode(Object{"type": "BOOKMARK", "object": Object{"apiVersion": k.api(), "kind": k.Kind,
					"metadata": Object{"resourceVersion": strconv.FormatInt(since, 10)}}})
				flush.Flush()
			}
		}
	}
}

func (s *Server) one(w http.ResponseWriter, r *http.Request, k Kind, namespace, name, sub string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	var given Object
	if err != nil || len(body) > 0 && json.Unmarshal(body, &given) != nil {
		s.fail(w, 400, "BadRequest", "the body is no JSON")
		return
	}
	if given == nil {
		given = Object{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.kinds[k.Resource]
	if r.Method == "POST" {
		name = text(meta(given), "name")
		meta(given)["namespace"] = namespace
	}
	now, there := st.objects[namespace+"/"+name]
	say := func(code int, o Object) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(o)
	}
	if r.Method == "POST" {
		if there {
			s.fail(w, 409, "AlreadyExists", name+" already exists")
			return
		}
		say(201, s.set(k.Resource, given))
		return
	}
	if !there {
		s.fail(w, 404, "NotFound", fmt.Sprintf("%s %q not found", k.Resource, name))
		return
	}
	if rv := text(meta(given), "resourceVersion"); r.Method != "GET" && rv != "" && rv != text(meta(now), "resourceVersion") {
		s.fail(w, 409, "Conflict", "the object has been modified; please apply your changes to the latest version and try again")
		return
	}
	switch r.Method {
	case "GET":
		say(200, now)
	case "PUT":
		fresh := clone(now)
		for f, v := range given {
			if f != "metadata" && (f == "status") == (sub == "status" || f == "status" && sub == "") {
				fresh[f] = v
			}
		}
		if a, ok := meta(given)["annotations"]; ok {
			meta(fresh)["annotations"] = a
		}
		say(200, s.set(k.Resource, fresh))
	case "PATCH":
		if t := r.Header.Get("Content-Type"); t != "application/merge-patch+json" {
			s.fail(w, 415, "UnsupportedMediaType", t+" is not known here")
			return
		}
		if sub == "status" {
			given = Object{"status": given["status"]}
		}
		delete(given, "metadata")
		fresh := clone(now)
		merge(fresh, given)
		say(200, s.set(k.Resource, fresh))
	default:
		s.fail(w, 405, "MethodNotAllowed", r.Method)
	}
}

// merge is RFC 7386.
func merge(to, from map[string]any) {
	for k, v := range from {
		inner, is := v.(map[string]any)
		have, had := to[k].(map[string]any)
		switch {
		case v == nil:
			delete(to, k)
		case is && had:
			merge(have, inner)
		default:
			to[k] = v
		}
	}
}
