// Package controller follows a cluster manager's API and serves the lists of servers that come of it to nodes. What it makes of
// objects is decided by package membership; nodes are told by package fanout.
package controller

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	coordination "k8s.io/api/coordination/v1"
	core "k8s.io/api/core/v1"
	discovery "k8s.io/api/discovery/v1"
	"k8s.io/apimachinery/pkg/api/meta"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/apis/meta/v1/unstructured"
	selection "k8s.io/apimachinery/pkg/fields"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/runtime/schema"
	"k8s.io/apimachinery/pkg/types"
	"k8s.io/apimachinery/pkg/watch"
	"k8s.io/client-go/kubernetes/scheme"
	typed "k8s.io/client-go/kubernetes/typed/coordination/v1"
	"k8s.io/client-go/rest"
	"k8s.io/client-go/tools/cache"
	"k8s.io/client-go/tools/leaderelection"
	"k8s.io/client-go/tools/leaderelection/resourcelock"

	"robincart/internal/controlplane/fanout"
	"robincart/internal/controlplane/membership"
	"robincart/internal/controlplane/recordserver"
	"robincart/internal/record/store"
	"robincart/internal/system/keys"
)

// ReadinessGate is the condition type of the readiness gate that paces cold starts: a Pod that names it in spec.readinessGates is ready
// only once the controller has let it in.
const ReadinessGate = "robincart.dev/may-serve"

// Epochs are the upper bits of a revision: a leader's lists stand above all of earlier leaders'.
const epochBits = 40

// Service is one list.
type Service struct {
	ListName    string // of the list
	ServiceName string // of the cluster manager's Service
	Port        string // name of the port, or its number; "": the first
	Listen      string // where nodes ask
}

// Config is what an operator says.
type Config struct {
	API           *rest.Config
	Namespace     string
	Identity      string
	LeaseName     string
	LeaseDuration time.Duration // of the lease
	Membership    membership.Config
	Fanout        fanout.Config
	Services      []Service
	StatusAddress string     // address of the status page
	Keys          keys.Files // towards nodes; none: plain TCP
	// Store, if set, is the record that the settings of the API go into. Run closes it.
	Store store.Store
	// RecordAddress is the address at which nodes are told the record by this replica, so that they need not ask the store; "": nowhere.
	RecordAddress    string
	MaxRecordClients int // nodes there, at most
}

// Controller is one replica.
type Controller struct {
	c     Config
	log   *zap.Logger
	pods  rest.Interface
	begin time.Time
	whole chan struct{} // closed once nodes may be told

	// Where this process begins to number its lists within an epoch. A node asks by its revision alone: counted from one at each
	// replica, another's revision would look like one of this replica's, and what changed between the two would never be told.
	base int64

	mu     sync.Mutex
	state  *membership.State
	synced map[string]bool
	lists  map[string]*fanout.List // by the cluster manager's service
	names  map[string]string       // of pods, by UID
	conds  map[string][]core.PodCondition
	epoch  int64
	leads  bool
	bad    map[string]string // objects that were skipped, and why
	cut    map[string]*cut   // kinds that are not followed
	gates  int
	book   *book                // nil without a record
	relay  *recordserver.Server // nil where nodes are not told the record
}

// New prepares one.
func New(c Config, log *zap.Logger) (*Controller, error) {
	if err := c.Membership.Validate(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if c.RecordAddress != "" && c.Store == nil {
		return nil, errors.New("the record can't be told to nodes: there is no store of it")
	}
	c.Fanout.EpochOf = func(revision int64) int64 { return revision >> epochBits }
	k := &Controller{c: c, log: log, begin: time.Now(), whole: make(chan struct{}), base: rand.Int63n(1 << (epochBits - 1)), state: membership.New(c.Membership, 0), synced: map[string]bool{}, lists: map[string]*fanout.List{},
		names: map[string]string{}, conds: map[string][]core.PodCondition{}, bad: map[string]string{}, cut: map[string]*cut{}}
	for _, s := range c.Services {
		if k.lists[s.ServiceName] != nil {
			return nil, fmt.Errorf("service %s stands twice", s.ServiceName)
		}
		k.lists[s.ServiceName] = fanout.New(c.Fanout, log.With(zap.String("service", s.ListName)))
	}
	return k, nil
}

func (k *Controller) now() float64 { return time.Since(k.begin).Seconds() }

// client is one for a group of the API.
func (k *Controller) client(group, version string) (rest.Interface, error) {
	c := rest.CopyConfig(k.c.API)
	c.GroupVersion = &schema.GroupVersion{Group: group, Version: version}
	c.APIPath = "/apis"
	if group == "" {
		c.APIPath = "/api"
	}
	c.NegotiatedSerializer = scheme.Codecs.WithoutConversion()
	c.ContentType, c.AcceptContentTypes = "application/json", "application/json"
	c.QPS, c.Burst = 50, 100
	return rest.RESTClientFor(c)
}

// Run follows and serves until the context ends. The error is what kept it from starting.
func (k *Controller) Run(ctx context.Context) error {
	if k.c.Store != nil {
		defer k.c.Store.Close()
	}
	var listeners []net.Listener
	defer func() {
		for _, ln := range listeners {
			ln.Close()
		}
	}()
	if k.c.StatusAddress != "" {
		ln, err := net.Listen("tcp", k.c.StatusAddress)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, ln)
	}
	clients := map[string]rest.Interface{}
	for _, g := range []string{"", "discovery.k8s.io", "coordination.k8s.io"} {
		c, err := k.client(g, "v1")
		if err != nil {
			return fmt.Errorf("the API's client: %w", err)
		}
		clients[g] = c
	}
	k.pods = clients[""]
	// One question first: a wrong address or key is to be told now, and not by reflectors that try for ever.
	first, cancel := context.WithTimeout(ctx, 10*time.Second)
	err := clients["discovery.k8s.io"].Get().Namespace(k.c.Namespace).Resource("endpointslices").Param("limit", "1").Do(first).Error()
	cancel()
	if err != nil {
		return fmt.Errorf("the API at %s: %w", k.c.API.Host, err)
	}
	var ring *keys.Ring
	if k.c.Keys.Enabled() {
		if ring, err = keys.Open(k.c.Keys, k.log); err != nil {
			return err
		}
	}
	var told net.Listener
	if k.c.RecordAddress != "" {
		if told, err = net.Listen("tcp", k.c.RecordAddress); err != nil {
			return fmt.Errorf("record.listen: %w", err)
		}
		listeners = append(listeners, told)
		if ring != nil {
			told = tls.NewListener(told, ring.Server())
		}
	}
	var all sync.WaitGroup
	defer all.Wait()
	ctx, end := context.WithCancel(ctx)
	defer end() // before the wait: what is waited for ends by it
	if ring != nil {
		all.Go(func() { ring.Run(ctx) })
	}
	// Nodes are let in once the view is whole: where several replicas stand behind one address, one that has just started
	// would else cost each node that comes to it a pause.
	broken := make(chan error, len(k.c.Services))
	for _, s := range k.c.Services {
		all.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-k.whole:
			}
			ln, err := net.Listen("tcp", s.Listen)
			if err != nil {
				broken <- fmt.Errorf("listen: %w", err)
				return
			}
			if ring != nil {
				ln = tls.NewListener(ln, ring.Server())
			}
			k.lists[s.ServiceName].Serve(ctx, ln)
		})
	}
	if k.c.StatusAddress != "" {
		srv := &http.Server{Handler: http.HandlerFunc(k.page), ReadHeaderTimeout: time.Second, WriteTimeout: 2 * time.Second}
		all.Go(func() { srv.Serve(listeners[0]) })
		defer srv.Close()
	}
	from := func(lw cache.ListerWatcher, resource string, example any, s sink) {
		r := cache.NewReflectorWithOptions(k.watched(lw, resource), example, &objects{Store: cache.NewStore(cache.MetaNamespaceKeyFunc), sink: s, k: k, kind: resource},
			cache.ReflectorOptions{Name: resource, TypeDescription: resource})
		all.Go(func() {
			// A watch that ends is begun again at once, since a word may come in between; failures wait longer each time.
			for pause := 10 * time.Millisecond; ctx.Err() == nil; {
				begun := time.Now()
				if err := r.ListAndWatchWithContext(ctx); err != nil && ctx.Err() == nil {
					k.ended(resource, err)
				}
				if pause *= 2; time.Since(begun) > time.Second {
					pause = 10 * time.Millisecond
				}
				pause = min(pause, 2*time.Second)
				select {
				case <-ctx.Done():
				case <-time.After(pause/2 + time.Duration(rand.Int63n(int64(pause)))):
				}
			}
		})
	}
	if k.c.Store != nil && told != nil {
		r := recordserver.New(k.c.Store, recordserver.DefaultConfig(), k.log)
		k.mu.Lock()
		k.relay = r
		k.mu.Unlock()
		all.Go(func() { r.Run(ctx) })
		all.Go(func() { store.ServeWithLimits(ctx, told, r, recordserver.ClientLimits(k.c.MaxRecordClients)) })
	}
	follow := func(group, resource, namespace string, example any, s sink) {
		from(cache.NewListWatchFromClient(clients[group], resource, namespace, selection.Everything()), resource, example, s)
	}
	if k.c.Store != nil {
		b, err := newBook(k, k.c.Store)
		if err != nil {
			return err
		}
		k.mu.Lock()
		k.book = b
		k.mu.Unlock()
		from(b.lists(), settings.Resource, &unstructured.Unstructured{Object: map[string]any{"apiVersion": "robincart.dev/v1", "kind": "Setting"}}, b.hear)
		all.Go(func() { b.run(ctx) })
	}
	follow("discovery.k8s.io", "endpointslices", k.c.Namespace, &discovery.EndpointSlice{}, k.slice)
	follow("", "pods", k.c.Namespace, &core.Pod{}, k.pod)
	follow("", "nodes", "", &core.Node{}, k.node)
	follow("coordination.k8s.io", "leases", k.c.Namespace, &coordination.Lease{}, k.lease)
	all.Go(func() { k.elect(ctx, clients["coordination.k8s.io"]) })
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-broken:
			return err
		case <-tick.C:
			k.apply(func(s *membership.State, now float64) []membership.Change { return s.Tick(now) })
			k.openGates(ctx)
			k.tellCut()
		}
	}
}

// cutTold is how long a kind may not be followed before the log tells: a watch that ends and begins again is no news.
const cutTold = 2 * time.Second

// cut is a kind that is not followed now.
type cut struct {
	since time.Time
	err   error // the last; nil where the client library took the end of its watch for an ordinary one
	told  bool
}

// stands is how long a watch has to last to count: one over a connection that is closed at once looks like an ordinary one.
const stands = 250 * time.Millisecond

// watched notes when a kind's watch begins and ends. The client library can't be asked: it takes a closed connection for a watch
// that has ended, and tries for tens of seconds before it tells of a fault.
func (k *Controller) watched(lw cache.ListerWatcher, kind string) cache.ListerWatcher {
	return &cache.ListWatch{ListWithContextFunc: func(ctx context.Context, o metav1.ListOptions) (runtime.Object, error) {
		return cache.ToListerWatcherWithContext(lw).ListWithContext(ctx, o)
	}, WatchFuncWithContext: func(ctx context.Context, o metav1.ListOptions) (watch.Interface, error) {
		w, err := cache.ToListerWatcherWithContext(lw).WatchWithContext(ctx, o)
		if err != nil {
			return nil, err
		}
		return &standing{Interface: w, since: time.AfterFunc(stands, func() { k.followed(kind) }), end: func() { k.ended(kind, nil) }}, nil
	}}
}

// standing is a watch whose end is noted.
type standing struct {
	watch.Interface
	since *time.Timer
	end   func()
}

// Stop is called by who follows it, when it has ended, too.
func (s *standing) Stop() {
	s.since.Stop()
	s.Interface.Stop()
	s.end()
}

// followed notes that a kind is.
func (k *Controller) followed(kind string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.cut[kind]; c != nil {
		delete(k.cut, kind)
		if c.told {
			k.log.Info("the API is followed again", zap.String("kind", kind), zap.Duration("after", time.Since(c.since)))
		}
	}
}

// ended notes that a kind's watch has ended, and why if that is known. Until another stands, or the kind is heard, it is not followed.
func (k *Controller) ended(kind string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.cut[kind]
	if c == nil {
		c = &cut{since: time.Now()}
		k.cut[kind] = c
	}
	if err != nil {
		c.err = err
	}
}

// tellCut logs what has not been followed for a while.
func (k *Controller) tellCut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for kind, c := range k.cut {
		if !c.told && time.Since(c.since) > cutTold {
			c.told = true
			k.log.Warn("the API can't be followed; the last list stays", zap.String("kind", kind), zap.Error(c.err))
		}
	}
}

// sink takes one object, or its end.
type sink func(key string, object any, gone bool)

// objects is what a reflector fills: a store that passes each word on.
type objects struct {
	cache.Store
	sink sink
	k    *Controller
	kind string

	heard uint64 // the latest version, of a whole list or an event; the reflector's goroutine alone uses it
}

// old tells of an event older than what was heard: a watch tells a kind's events in the order of their versions, so one that
// was broken and taken up at the wrong place tells old ones again, and a server that has just drained would come back by them.
// Versions are whole numbers that rise; any other is taken as it comes.
func (o *objects) old(x any) bool {
	m, err := meta.Accessor(x)
	if err != nil {
		return false
	}
	v, err := strconv.ParseUint(m.GetResourceVersion(), 10, 64)
	if err != nil {
		return false
	}
	if v < o.heard {
		return true
	}
	o.heard = v
	return false
}

func (o *objects) told() { o.k.followed(o.kind) }

func (o *objects) pass(x any, gone bool) {
	key, err := cache.DeletionHandlingMetaNamespaceKeyFunc(x)
	if err == nil {
		o.sink(key, x, gone)
	}
}

// Add, Update and Delete are the words of a watch.
func (o *objects) Add(x any) error { return o.hear(x, false, o.Store.Add) }

func (o *objects) Update(x any) error { return o.hear(x, false, o.Store.Update) }

func (o *objects) Delete(x any) error { return o.hear(x, true, o.Store.Delete) }

func (o *objects) hear(x any, gone bool, keep func(any) error) error {
	o.told()
	if o.old(x) {
		return nil
	}
	o.pass(x, gone)
	return keep(x)
}

// Replace is a whole list: what it lacks has gone.
func (o *objects) Replace(list []any, version string) error {
	// What it says counts, also where it is older: the API may have been restored.
	o.heard, _ = strconv.ParseUint(version, 10, 64)
	is := map[string]bool{}
	for _, x := range list {
		if key, err := cache.MetaNamespaceKeyFunc(x); err == nil {
			is[key] = true
		}
	}
	for _, key := range o.Store.ListKeys() {
		if x, there, _ := o.Store.GetByKey(key); there && !is[key] {
			if p, pod := x.(*core.Pod); pod {
				o.k.forget(p)
				o.k.apply(func(m *membership.State, now float64) []membership.Change {
					return m.MarkPodMissing(string(p.UID), now)
				})
			} else {
				o.pass(x, true)
			}
		}
	}
	for _, x := range list {
		o.pass(x, false)
	}
	err := o.Store.Replace(list, version)
	o.told()
	o.k.sync(o.kind)
	return err
}

// sync notes that a kind's whole list is known. Nodes are told nothing before all are: half a view has servers that its other
// half would drain.
func (k *Controller) sync(kind string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	was := k.ready()
	k.synced[kind] = true
	if !was && k.ready() {
		k.log.Info("the view is whole", zap.Duration("after", time.Since(k.begin)), zap.Int64("epoch", k.epoch))
		k.renew()
		close(k.whole)
	}
}

func (k *Controller) ready() bool {
	return k.synced["endpointslices"] && k.synced["pods"] && k.synced["nodes"] && k.synced["leases"]
}

// renew puts whole lists in force, in the present epoch. The mutex is held.
func (k *Controller) renew() {
	for of, l := range k.lists {
		var all []fanout.Member
		for _, m := range k.state.Members(of) {
			all = append(all, k.member(m))
		}
		l.PublishSnapshot(k.epoch<<epochBits+k.base+k.state.Revision()+1, all)
	}
}

func (k *Controller) member(m membership.Member) fanout.Member {
	return fanout.Member{ID: m.ID, HostPort: m.Addr, Locality: m.Zone, Phase: string(m.Phase), Size: 1,
		UpSince: k.begin.Add(time.Duration(m.StartedAt * float64(time.Second))).UnixMilli()}
}

// apply lets something be heard, and tells nodes what follows.
func (k *Controller) apply(f func(*membership.State, float64) []membership.Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changes := f(k.state, k.now())
	if !k.ready() {
		return
	}
	news := map[string][]fanout.Member{}
	for _, c := range changes {
		news[c.Service] = append(news[c.Service], k.member(c.Member))
	}
	for of, l := range k.lists {
		l.PublishDelta(news[of])
		if len(k.cut) == 0 {
			l.NoteSourceAlive()
		}
	}
}

// skip notes an object that can't be used; it costs no other.
func (k *Controller) skip(key, why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.bad[key] != why {
		if k.bad[key] = why; why == "" {
			delete(k.bad, key)
			return
		}
		k.log.Warn("skipped", zap.String("object", key), zap.String("why", why))
	}
}

func (k *Controller) slice(key string, x any, gone bool) {
	s, ok := x.(*discovery.EndpointSlice)
	if gone || !ok {
		k.apply(func(m *membership.State, now float64) []membership.Change { return m.DeleteSlice(key, now) })
		return
	}
	of := s.Labels[discovery.LabelServiceName]
	i := slices.IndexFunc(k.c.Services, func(v Service) bool { return v.ServiceName == of })
	if i < 0 {
		return
	}
	port, why := portOf(s, k.c.Services[i].Port), ""
	var es []membership.Endpoint
	for _, e := range s.Endpoints {
		if len(e.Addresses) == 0 || net.ParseIP(e.Addresses[0]) == nil || port == 0 {
			why = fmt.Sprintf("an endpoint has no proper address or port: %v, port %d", e.Addresses, port)
			continue
		}
		m := membership.Endpoint{Addr: net.JoinHostPort(e.Addresses[0], strconv.Itoa(int(port))), Ready: e.Conditions.Ready == nil || *e.Conditions.Ready,
			Terminating: e.Conditions.Terminating != nil && *e.Conditions.Terminating}
		if e.TargetRef != nil {
			m.Pod = string(e.TargetRef.UID)
		}
		if e.NodeName != nil {
			m.Node = *e.NodeName
		}
		if e.Zone != nil {
			m.Zone = *e.Zone
		}
		es = append(es, m)
	}
	k.apply(func(m *membership.State, now float64) []membership.Change {
		changes := m.UpdateSlice(key, of, es, now)
		if n := m.Rejected(key); n > 0 {
			why = fmt.Sprintf("%d endpoints are left out: the service has more than %d servers, those that left lately included", n, membership.MaxServers)
		}
		return changes
	})
	k.skip("endpointslice "+key, why)
}

func portOf(s *discovery.EndpointSlice, want string) int32 {
	for _, p := range s.Ports {
		if p.Port != nil && *p.Port > 0 && *p.Port < 65536 && (want == "" || p.Name != nil && *p.Name == want || want == strconv.Itoa(int(*p.Port))) {
			return *p.Port
		}
	}
	return 0
}

func (k *Controller) pod(key string, x any, gone bool) {
	p, ok := x.(*core.Pod)
	if !ok {
		if d, is := x.(cache.DeletedFinalStateUnknown); is {
			p, ok = d.Obj.(*core.Pod)
		}
	}
	if !ok || p.UID == "" {
		k.skip("pod "+key, "it has no UID")
		return
	}
	if gone {
		k.forget(p)
		k.apply(func(m *membership.State, now float64) []membership.Change { return m.DeletePod(string(p.UID), now) })
		return
	}
	m := membership.Pod{UID: string(p.UID), Name: p.Name, Deleting: p.DeletionTimestamp != nil, Finished: p.Status.Phase == core.PodFailed || p.Status.Phase == core.PodSucceeded}
	for _, c := range p.Status.Conditions {
		switch {
		case c.Type == core.ContainersReady:
			m.ContainersReady = c.Status == core.ConditionTrue
		case c.Type == ReadinessGate:
			m.GateOpen = c.Status == core.ConditionTrue
		}
	}
	for _, c := range p.Status.ContainerStatuses {
		if c.State.Running != nil {
			m.StartedAt = max(m.StartedAt, c.State.Running.StartedAt.Sub(k.begin).Seconds())
		}
	}
	for _, g := range p.Spec.ReadinessGates {
		if g.ConditionType == ReadinessGate {
			m.GatedService = p.Labels["robincart.dev/service"]
		}
	}
	k.mu.Lock()
	k.names[m.UID], k.conds[m.UID] = p.Name, p.Status.Conditions
	k.mu.Unlock()
	k.apply(func(s *membership.State, now float64) []membership.Change { return s.UpdatePod(m, now) })
}

// forget drops what is kept of a pod for its gate: under deploys all day it would else grow with every pod there has been.
func (k *Controller) forget(p *core.Pod) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.names, string(p.UID))
	delete(k.conds, string(p.UID))
}

func (k *Controller) node(key string, x any, gone bool) {
	n, ok := x.(*core.Node)
	m := membership.Node{Missing: gone || !ok}
	if ok && !gone {
		m.Zone, m.Cordoned = n.Labels["topology.kubernetes.io/zone"], n.Spec.Unschedulable
		for _, t := range n.Spec.Taints {
			m.Evicting = m.Evicting || t.Effect == core.TaintEffectNoExecute
		}
	}
	k.apply(func(s *membership.State, now float64) []membership.Change { return s.UpdateNode(key, m, now) })
}

// lease follows who leads: with each change of hands an epoch begins, and nodes are told whole lists above all earlier ones.
func (k *Controller) lease(key string, x any, gone bool) {
	l, ok := x.(*coordination.Lease)
	if gone || !ok || l.Name != k.c.LeaseName || l.Spec.LeaseTransitions == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := int64(*l.Spec.LeaseTransitions) + 1; e > k.epoch { // never back, also if the API goes back
		k.epoch = e
		k.log.Info("a new epoch", zap.Int64("epoch", e))
		if k.ready() {
			k.renew()
		}
	}
}

// elect takes part in the choice of a leader, who alone writes.
func (k *Controller) elect(ctx context.Context, client rest.Interface) {
	lock := &resourcelock.LeaseLock{LeaseMeta: metav1.ObjectMeta{Namespace: k.c.Namespace, Name: k.c.LeaseName}, Client: typed.New(client),
		LockConfig: resourcelock.ResourceLockConfig{Identity: k.c.Identity}}
	for ctx.Err() == nil {
		e, err := leaderelection.NewLeaderElector(leaderelection.LeaderElectionConfig{Lock: lock, LeaseDuration: k.c.LeaseDuration, RenewDeadline: k.c.LeaseDuration * 2 / 3,
			RetryPeriod: k.c.LeaseDuration / 6, ReleaseOnCancel: true, Callbacks: leaderelection.LeaderCallbacks{
				OnStartedLeading: func(context.Context) { k.lead(true) }, OnStoppedLeading: func() { k.lead(false) }}})
		if err != nil {
			k.log.Error("no leader can be chosen", zap.Error(err))
			return
		}
		e.Run(ctx)
	}
}

func (k *Controller) lead(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leads != on {
		k.leads = on
		k.log.Info("leading", zap.Bool("on", on))
	}
}

// openGates lets cold pods in, a part at a time; the leader alone does.
func (k *Controller) openGates(ctx context.Context) {
	k.mu.Lock()
	if !k.leads || !k.ready() {
		k.mu.Unlock()
		return
	}
	uids := k.state.OpenGates(k.now())
	k.mu.Unlock()
	for _, uid := range uids {
		k.mu.Lock()
		name, conds := k.names[uid], slices.Clone(k.conds[uid])
		k.mu.Unlock()
		conds = slices.DeleteFunc(conds, func(c core.PodCondition) bool { return c.Type == ReadinessGate })
		conds = append(conds, core.PodCondition{Type: ReadinessGate, Status: core.ConditionTrue, Reason: "LetIn", LastTransitionTime: metav1.Now()})
		body, err := json.Marshal(map[string]any{"status": map[string]any{"conditions": conds}})
		if err == nil {
			call, cancel := context.WithTimeout(ctx, 5*time.Second)
			err = k.pods.Patch(types.MergePatchType).Namespace(k.c.Namespace).Resource("pods").Name(name).SubResource("status").Body(body).Do(call).Error()
			cancel()
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			k.log.Warn("a pod's gate could not be opened", zap.String("pod", name), zap.Error(err))
		}
		k.mu.Lock()
		k.gates++
		k.mu.Unlock()
	}
}

// Status is what the status page shows.
type Status struct {
	Identity     string                   `json:"identity"`
	Leading      bool                     `json:"leads"`
	Epoch        int64                    `json:"epoch"`
	Synced       bool                     `json:"whole"`
	Disconnected map[string]float64       `json:"cut_seconds"` // kinds that can't be followed, for how long
	Skipped      map[string]string        `json:"skipped"`
	GatesOpened  int                      `json:"gates_opened"`
	RecordError  string                   `json:"record,omitempty"` // what keeps it from following the settings
	RecordServer *recordserver.Status     `json:"relay,omitempty"`  // the record as nodes are told it here
	Services     map[string]fanout.Status `json:"services"`
}

// Status tells how this replica stands.
func (k *Controller) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := Status{Identity: k.c.Identity, Leading: k.leads, Epoch: k.epoch, Synced: k.ready(), Disconnected: map[string]float64{}, Skipped: map[string]string{}, GatesOpened: k.gates,
		Services: map[string]fanout.Status{}}
	if k.book != nil {
		s.RecordError = k.book.fault
	}
	if k.relay != nil {
		r := k.relay.Status()
		s.RecordServer = &r
	}
	for kind, c := range k.cut {
		s.Disconnected[kind] = time.Since(c.since).Seconds()
	}
	for key, why := range k.bad {
		s.Skipped[key] = why
	}
	for _, v := range k.c.Services {
		s.Services[v.ListName] = k.lists[v.ServiceName].Status()
	}
	return s
}

func (k *Controller) page(w http.ResponseWriter, r *http.Request) {
	if r.Method != "GET" || r.URL.Path != "/status" {
		http.Error(w, "GET /status", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.Encode(k.Status())
}
