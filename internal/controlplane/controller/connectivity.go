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
	// disconnectionLogDelay is how long a kind has to be disconnected before that is logged: watches end and begin
	// again all the time.
	disconnectionLogDelay = 2 * time.Second
	// minWatchDuration is how long a watch has to last for its kind to count as connected: a watch over a connection
	// that is closed at once looks like an ordinary one.
	minWatchDuration = 250 * time.Millisecond
)

// disconnection is a kind of object that is not watched at present. The last list stays published meanwhile.
type disconnection struct {
	since  time.Time
	err    error // the last one; nil where the client library took the end of the watch for an ordinary one
	logged bool
}

// trackWatches notes when a kind's watches begin and end. The client library can't be asked: it takes a closed
// connection for a watch that has ended, and retries for tens of seconds before it returns an error.
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

// trackedWatch is a watch whose end is noted.
type trackedWatch struct {
	watch.Interface
	connected *time.Timer
	ended     func()
}

// Stop ends the watch. The reflector calls it also after a watch that has ended by itself.
func (w *trackedWatch) Stop() {
	w.connected.Stop()
	w.Interface.Stop()
	w.ended()
}

// markConnected notes that a kind is followed.
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

// markDisconnected notes that a kind's watch has ended, and why if that is known. The kind stays disconnected until
// another watch lasts or an event or list comes in.
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

// logDisconnections logs each disconnection that has lasted, once.
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
