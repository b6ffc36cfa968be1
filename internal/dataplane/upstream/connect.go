package upstream

import (
	"context"
	"errors"
	"net"
	"time"

	"robincart/decide"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// connectRetryDelay is the time between two connects where this machine lacks something. It is shorter than the time
// for which accepting pauses once it has made clients give way.
const connectRetryDelay = 2 * time.Millisecond

// Errors of a missing connection whose server is not to blame.
var (
	errNoDescriptor = errors.New("no descriptor is left for a connection to a server")
	errServerMoved  = errors.New("the server moved while it was connected to")
)

// connectResult returns the result of an attempt that got no connection.
func connectResult(err error) decide.Result {
	if errors.Is(err, errNoDescriptor) || errors.Is(err, errServerMoved) || socket.Classify(err).Transient() {
		return decide.NotSent
	}
	return decide.ConnectFailed
}

// connection returns an idle connection to the attempt's server, or a new one.
func (e *exchange) connection(address string) (*conn, error) {
	p := e.pool
	server := e.attempt.Server
	if e.attempt.FreshConnection {
		p.closeIdleTo(server, telemetry.StaleConnection)
	}
	if c := p.getIdle(server, address); c != nil {
		return c, nil
	}
	if !p.budget.Acquire() {
		return nil, errNoDescriptor
	}
	raw, err := e.dial(address)
	if err != nil {
		p.budget.Release()
		return nil, err
	}
	c := p.newConn(raw, address)
	if current, _ := p.core.Address(server); current != address {
		// The server has come back under its name at another address. The old one may be another server's now.
		p.closeConn(c, telemetry.StaleConnection)
		return nil, errServerMoved
	}
	return c, nil
}

// dial connects for as long as the attempt is wanted. Where the process can open no more descriptors, whatever the
// budget says, an idle connection gives way, or clients do, and it tries again. So it does where the machine lacks
// memory, a port or a route for a moment: reported at once, the attempt would be ordered again in the same moment.
func (e *exchange) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), e.pool.timeouts.Load().connect)
	defer cancel()
	e.cancelConnect = cancel
	if !e.pool.core.Bind(e.attempt, e) {
		return nil, context.Canceled
	}
	var shortage error // the last one
	for {
		raw, err := e.pool.dialer.DialContext(ctx, "tcp", address)
		if shortage != nil && isTimeout(ctx, err) {
			return nil, timeoutCause(err, shortage)
		}
		if !socket.Classify(err).Transient() {
			return raw, err
		}
		shortage = err
		if socket.Exhausted(err) && e.pool.EvictIdle() {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(connectRetryDelay):
		}
	}
}

// isTimeout reports whether a connect failed because its time was over.
func isTimeout(ctx context.Context, err error) bool {
	return err != nil && (ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded))
}

// timeoutCause returns the error of a connect whose time went by in a shortage. One of routes that has lasted is no
// shortage of this machine: its server could not be reached.
func timeoutCause(timeout, shortage error) error {
	if socket.Classify(shortage) == socket.NoRoute {
		return timeout
	}
	return shortage
}
