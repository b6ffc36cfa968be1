package controller

import (
	"context"
	"time"

	"go.uber.org/zap"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/watch"
	"k8s.io/client-go/tools/cache"
)

const (
	// disconnectionLogDelay is how long a kind must be disconnected before the loss of its watch is logged: watches end
	// and are replaced often in normal operation.
	disconnectionLogDelay = 2 * time.Second
	// minWatchDuration is how long the watch of a kind must stay open before the controller records the kind as
	// connected, if no event or list is received earlier. A watch whose connection is closed immediately looks like a
	// working watch at first.
	minWatchDuration = 250 * time.Millisecond
)

// disconnection is an outage of the watch of a kind. During the outage, the last list is still served.
type disconnection struct {
	since  time.Time
	err    error // last error; nil if the client library reported a normal end of the watch
	logged bool
}

// trackWatches wraps the source of a kind, so that the controller records when the watches of the kind begin and end.
// The client library does not report these events: it treats a closed connection as a normal end of the watch, and
// retries for tens of seconds before it returns an error.
func (c *Controller) trackWatches(kind string, source cache.ListerWatcher) cache.ListerWatcher {
	listFunc := func(ctx context.Context, options metav1.ListOptions) (runtime.Object, error) {
		return cache.ToListerWatcherWithContext(source).ListWithContext(ctx, options)
	}
	watchFunc := func(ctx context.Context, options metav1.ListOptions) (watch.Interface, error) {
		watcher, err := cache.ToListerWatcherWithContext(source).WatchWithContext(ctx, options)
		if err != nil {
			return nil, err
		}
		return &trackedWatch{
			Interface: watcher,
			connected: time.AfterFunc(minWatchDuration, func() { c.markConnected(kind) }),
			ended:     func() { c.markDisconnected(kind, nil) },
		}, nil
	}
	return &cache.ListWatch{ListWithContextFunc: listFunc, WatchFuncWithContext: watchFunc}
}

// trackedWatch is a watch that records its end.
type trackedWatch struct {
	watch.Interface
	connected *time.Timer
	ended     func()
}

// Stop ends the watch and records its end. The reflector also calls Stop if the connection ended first.
func (w *trackedWatch) Stop() {
	w.connected.Stop()
	w.Interface.Stop()
	w.ended()
}

// markConnected records that the watch of a kind works, and logs the end of a logged outage.
func (c *Controller) markConnected(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := c.disconnected[kind]
	if lost == nil {
		return
	}
	delete(c.disconnected, kind)
	if lost.logged {
		c.log.Info("watch restored", zap.String("kind", kind), zap.Duration("outage", time.Since(lost.since)))
	}
}

// markDisconnected records that the watch of a kind has ended, with the error if there is one. The kind stays
// disconnected until another watch has lasted for minWatchDuration, or an event or a list is received.
func (c *Controller) markDisconnected(kind string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := c.disconnected[kind]
	if lost == nil {
		lost = &disconnection{since: time.Now()}
		c.disconnected[kind] = lost
	}
	if err != nil {
		lost.err = err
	}
}

// logDisconnections logs each disconnection once, after it has lasted longer than disconnectionLogDelay.
func (c *Controller) logDisconnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, lost := range c.disconnected {
		if lost.logged || time.Since(lost.since) <= disconnectionLogDelay {
			continue
		}
		lost.logged = true
		c.log.Warn("watch lost", zap.String("kind", kind), zap.Error(lost.err))
	}
}
