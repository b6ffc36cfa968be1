package store

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"robincart/internal/record/record"
	"robincart/internal/system/wait"
)

const (
	controllersScheme = "controllers:" // prefix of the address of a store that is accessed through controllers
	maxControllers    = 8
)

// ParseControllers parses a store's address that begins with "controllers:". It returns the addresses of the
// controller's replicas, nearest first. It returns false if the address does not begin with "controllers:".
func ParseControllers(address string) ([]string, bool, error) {
	list, ok := strings.CutPrefix(address, controllersScheme)
	if !ok {
		return nil, false, nil
	}
	addresses := strings.Split(list, ",")
	if len(addresses) > maxControllers {
		return nil, true, fmt.Errorf("found %d controllers, more than %d", len(addresses), maxControllers)
	}
	for i, replica := range addresses {
		if host, port, err := net.SplitHostPort(replica); err != nil || host == "" || port == "" {
			return nil, true, fmt.Errorf("%q is no address with a port", replica)
		}
		if slices.Contains(addresses[:i], replica) {
			return nil, true, fmt.Errorf("%s is listed twice", replica)
		}
	}
	return addresses, true, nil
}

const (
	maxResponseSize = 64 << 20 // limit of a replica's response, in bytes
	dialTimeout     = 1500 * time.Millisecond
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// controllersClient is a ReplicaClient. It watches one replica of the controller, which sends it the record's position,
// and makes its calls to that replica.
type controllersClient struct {
	addresses       []string // nearest first
	connect         func(ctx context.Context, address string) (net.Conn, error)
	secure          func(address string) *tls.Config // TLS configuration for an address; nil: no TLS
	maxResponseSize int64

	cancel   context.CancelFunc
	watcher  sync.WaitGroup
	notified wait.Signal // set when the record may have changed

	mu             sync.Mutex
	watched        watchedReplica
	confirmedAt    time.Time     // when the store itself confirmed the replica's position
	callerPosition record.Meta   // position of the caller's copy, set by SetPosition
	watchError     error         // error that ended the last watch
	rolledBack     bool          // a replica has reported a rollback
	changed        chan struct{} // closed and replaced when the watched replica or its position changes
}

// watchedReplica is the replica that the client currently watches.
type watchedReplica struct {
	address  string // empty: none is watched
	position record.Meta
	number   int // sequence number of the watch
}

// DialControllers returns a store that is accessed through the controller's replicas. It uses the first replica that is
// reachable and whose copy is not older than the caller's. The argument secure, if not nil, returns the TLS
// configuration for a replica's address.
func DialControllers(addresses []string, secure func(address string) *tls.Config) Store {
	dialer := net.Dialer{KeepAlive: -1}
	connect := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return DialControllersWith(connect, addresses, secure)
}

// DialControllersWith is DialControllers, but makes its connections with the function connect.
func DialControllersWith(
	connect func(ctx context.Context, address string) (net.Conn, error),
	addresses []string, secure func(address string) *tls.Config,
) Store {
	ctx, cancel := context.WithCancel(context.Background())
	c := &controllersClient{
		addresses:       addresses,
		connect:         connect,
		secure:          secure,
		maxResponseSize: maxResponseSize,
		cancel:          cancel,
		notified:        wait.NewSignal(),
		changed:         make(chan struct{}),
		watchError:      errors.New("not connected yet"),
	}
	c.watcher.Go(func() { c.run(ctx) })
	return c
}

// run watches one replica after another until the context ends.
func (c *controllersClient) run(ctx context.Context) {
	backoff := minBackoff
	next := 0
	for ctx.Err() == nil {
		begin := time.Now()
		err := c.watch(ctx, c.addresses[next])
		var fresher *fresherReplicaError
		if errors.As(err, &fresher) {
			next = slices.Index(c.addresses, fresher.address)
			continue
		}
		c.endWatch(err)
		if time.Since(begin) > heartbeatTimeout {
			backoff = minBackoff
		}
		// Jitter: the clients of a failed replica must not all connect to the next replica at the same time.
		wait.Sleep(ctx, backoff/2+time.Duration(rand.Int63n(int64(backoff))))
		next++
		if next == len(c.addresses) {
			next = 0
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// endWatch records that no replica is watched, and the error that ended the last watch.
func (c *controllersClient) endWatch(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched.address = ""
	c.watchError = err
	if errors.Is(err, record.ErrRolledBack) {
		c.rolledBack = true
	}
	c.notifyChange()
}

// notifyChange wakes the goroutines that wait for a change of the watched replica or its position. The caller holds the
// mutex.
func (c *controllersClient) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
	c.notified.Set()
}

// dial connects to a replica, with TLS if that is configured.
func (c *controllersClient) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := c.connect(ctx, address)
	if err != nil || c.secure == nil {
		return connection, err
	}
	secured := tls.Client(connection, c.secure(address))
	if err := secured.HandshakeContext(ctx); err != nil {
		connection.Close()
		return nil, fmt.Errorf("TLS handshake failed, check the keys: %w", err)
	}
	return secured, nil
}

// awaitReplica waits until a replica is watched. It returns that replica and the position of the caller's copy.
func (c *controllersClient) awaitReplica(ctx context.Context) (watchedReplica, record.Meta, error) {
	for {
		c.mu.Lock()
		watched, callerPosition := c.watched, c.callerPosition
		watchError := c.watchError
		changed := c.changed
		c.mu.Unlock()
		if watched.address != "" {
			return watched, callerPosition, nil
		}
		select {
		case <-ctx.Done():
			return watchedReplica{}, record.Meta{}, fmt.Errorf("no controller serves the record: %w", watchError)
		case <-changed:
		}
	}
}

// call makes a call to the watched replica.
func (c *controllersClient) call(ctx context.Context, call request) (response, error) {
	watched, callerPosition, err := c.awaitReplica(ctx)
	if err != nil {
		return response{}, err
	}
	peer := "the controller at " + watched.address
	connection, err := c.dial(ctx, watched.address)
	if err != nil {
		return response{}, fmt.Errorf("%s: %w", peer, err)
	}
	call.Position = &callerPosition
	answer, err := roundTrip(ctx, connection, call, c.maxResponseSize, peer)
	if err == nil {
		c.advance(watched.number, answer.Meta)
		c.advance(watched.number, answer.Page.Meta)
	}
	return answer, err
}

// advance raises the watched replica's revision to the revision in an answer of that replica. The answer may be newer
// than the last position that the watch has received. advance has no effect if the client has since begun another
// watch, or if the epochs differ.
func (c *controllersClient) advance(watchNumber int, position record.Meta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if watchNumber != c.watched.number || position.Epoch != c.watched.position.Epoch {
		return
	}
	c.watched.position.Revision = max(c.watched.position.Revision, position.Revision)
}

// Meta implements Store. It returns the watched replica's position.
func (c *controllersClient) Meta(ctx context.Context) (record.Meta, error) {
	watched, _, err := c.awaitReplica(ctx)
	return watched.position, err
}

// Since implements Store.
func (c *controllersClient) Since(ctx context.Context, after int64, limit int) (record.Page, error) {
	answer, err := c.call(ctx, request{Op: opSince, After: after, Limit: limit})
	return answer.Page, err
}

// Write implements Store.
func (c *controllersClient) Write(
	ctx context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	answer, err := c.call(ctx, request{Op: opWrite, Epoch: epoch, Changes: changes})
	if err == nil && len(answer.Entries) != len(changes) {
		err = fmt.Errorf("the controller returned entries for %d of %d changes", len(answer.Entries), len(changes))
	}
	return answer.Entries, answer.Meta, err
}

// Wait implements Store.
func (c *controllersClient) Wait(ctx context.Context, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-c.notified:
	}
	return nil
}

// SetPosition implements ReplicaClient.
func (c *controllersClient) SetPosition(position record.Meta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callerPosition = position
}

// TakeRollback implements ReplicaClient.
func (c *controllersClient) TakeRollback() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rolledBack := c.rolledBack
	c.rolledBack = false
	return rolledBack
}

// Age implements ReplicaClient.
func (c *controllersClient) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.confirmedAt)
}

// Close implements Store.
func (c *controllersClient) Close() error {
	c.cancel()
	c.watcher.Wait()
	return nil
}
