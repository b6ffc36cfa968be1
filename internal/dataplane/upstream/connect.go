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

// connectRetryDelay is the time between two connects while this machine lacks descriptors, memory, ports or a route. It
// is shorter than Limits.AcceptRetryDelay, for which the listeners wait after they have evicted clients.
const connectRetryDelay = 2 * time.Millisecond

// Errors of attempts that get no connection although their servers are not at fault.
var (
	errNoDescriptor   = errors.New("no descriptor available for a connection to a server")
	errAddressChanged = errors.New("the server's address changed during the connect")
)

// connectResult returns the result of an attempt that got no connection.
func connectResult(err error) decide.Result {
	if errors.Is(err, errNoDescriptor) || errors.Is(err, errAddressChanged) || socket.Classify(err).Transient() {
		return decide.NotSent
	}
	return decide.ConnectFailed
}

// connection returns an idle connection to the attempt's server. If there is none, it opens a connection.
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
	netConn, err := e.dial(address)
	if err != nil {
		p.budget.Release()
		return nil, err
	}
	c := p.newConn(netConn, address)
	if current, _ := p.core.Address(server); current != address {
		// The server's address has changed. The old address may belong to another server now.
		p.closeConn(c, telemetry.StaleConnection)
		return nil, errAddressChanged
	}
	return c, nil
}

// dial connects until the connect timeout expires or the attempt is canceled. It retries while this machine lacks
// descriptors, memory, ports or a route, since the core would replace a failed attempt by another attempt at once. If
// the process can open no more descriptors, although the budget had one left, dial evicts an idle connection before it
// retries. Meanwhile the listeners may evict clients.
func (e *exchange) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), e.pool.timeouts.Load().connect)
	defer cancel()
	e.cancelConnect = cancel
	if !e.pool.core.Bind(e.attempt, e) {
		return nil, context.Canceled
	}
	var shortage error // the last transient error
	for {
		netConn, err := e.pool.dialer.DialContext(ctx, "tcp", address)
		if shortage != nil && isTimeout(ctx, err) {
			return nil, timeoutCause(err, shortage)
		}
		if !socket.Classify(err).Transient() {
			return netConn, err
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

// isTimeout reports whether a connect failed because its context was done or its deadline was exceeded.
func isTimeout(ctx context.Context, err error) bool {
	return err != nil && (ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded))
}

// timeoutCause returns the error to report for a connect that timed out after transient errors. It returns the last
// transient error, because that error reports a shortage on this machine. Exception: if the last transient error is a
// missing route, it returns the timeout error, because the server is unreachable.
func timeoutCause(timeout, shortage error) error {
	if socket.Classify(shortage) == socket.NoRoute {
		return timeout
	}
	return shortage
}
