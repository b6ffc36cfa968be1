package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/system/socket"
)

// ServerLimits limits the clients of a server and their calls.
type ServerLimits struct {
	MaxClients   int           // number of concurrent connections; 0: no limit
	MaxCallBytes int64         // maximum size of a request
	CallTimeout  time.Duration // time for a request to arrive
	WriteTimeout time.Duration // time to send one line to a client that watches
	AllowedCalls []string      // allowed values of a request's Op; nil: all
}

const (
	localTimeout   = 10 * time.Second // CallTimeout and WriteTimeout between a node and its store's process
	maxAcceptDelay = 10 * time.Millisecond
	maxCallTime    = time.Hour
	responseTime   = 10 * time.Second // to send the response, after the call's own time limit
	maxSinceLimit  = 10_000           // maximum number of entries in one response
)

// Serve answers the calls to a store that arrive on a listener, until the context ends. It trusts its only client, a
// node's process.
func Serve(ctx context.Context, listener net.Listener, store Store) {
	ServeWithLimits(ctx, listener, store, ServerLimits{
		MaxCallBytes: maxMessageSize,
		CallTimeout:  localTimeout,
		WriteTimeout: localTimeout,
	})
}

// ServeWithLimits is Serve with limits, for clients that may be too many, slow or malicious.
func ServeWithLimits(ctx context.Context, listener net.Listener, store Store, limits ServerLimits) {
	s := &server{store: store, limits: limits}
	s.replica, _ = store.(Replica)
	var handlers sync.WaitGroup
	defer handlers.Wait()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var clients atomic.Int64
	backoff := socket.NewAcceptBackoff(maxAcceptDelay)
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(backoff.Failed())
			continue
		}
		backoff.Succeeded()
		if clients.Add(1) > int64(limits.MaxClients) && limits.MaxClients > 0 {
			clients.Add(-1)
			connection.Close() // the client tries another replica
			continue
		}
		handlers.Go(func() {
			defer clients.Add(-1)
			defer connection.Close()
			s.handle(ctx, connection)
		})
	}
}

// server answers calls to a store.
type server struct {
	store   Store
	replica Replica // the store, if it is a Replica; else nil
	limits  ServerLimits
}

// handle answers a connection's only call.
func (s *server) handle(ctx context.Context, connection net.Conn) {
	connection.SetDeadline(time.Now().Add(s.limits.CallTimeout))
	reader := bufio.NewReader(io.LimitReader(connection, s.limits.MaxCallBytes))
	call, err := readRequest(reader)
	if err != nil {
		respond(connection, response{}, fmt.Errorf("invalid call: %w", err))
		return
	}
	callTime := min(max(call.TimeLeft, 0), maxCallTime)
	connection.SetDeadline(time.Now().Add(callTime + responseTime))
	var cancel context.CancelFunc
	if s.isWatch(call) { // a watch has no time limit
		ctx, cancel = context.WithCancel(ctx)
	} else {
		ctx, cancel = context.WithTimeout(ctx, callTime)
	}
	defer cancel()
	clientGone := cancelOnHangup(reader, cancel)
	defer func() {
		connection.Close()
		<-clientGone
	}()
	answer, err := s.answer(ctx, connection, call)
	respond(connection, answer, err)
}

func readRequest(reader *bufio.Reader) (request, error) {
	line, err := reader.ReadBytes('\n')
	if err != nil {
		return request{}, err
	}
	var call request
	err = json.Unmarshal(line, &call)
	return call, err
}

func respond(connection net.Conn, answer response, err error) {
	answer.setError(err)
	json.NewEncoder(connection).Encode(answer) // an error means that the client has disconnected
}

// cancelOnHangup cancels a call when its client closes the connection. The returned channel is closed when the
// goroutine that reads the connection has ended.
func cancelOnHangup(reader *bufio.Reader, cancel context.CancelFunc) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		reader.ReadByte()
		cancel()
	}()
	return done
}

// isWatch reports whether a call lasts until its client disconnects.
func (s *server) isWatch(call request) bool { return call.Op == opFollow && s.replica != nil }

// answer executes a client's call on the store.
func (s *server) answer(ctx context.Context, connection net.Conn, call request) (response, error) {
	var answer response
	if s.replica != nil && call.Position != nil && call.Op != opWrite {
		if err := s.replica.CheckFresh(ctx, *call.Position); err != nil {
			return answer, err
		}
	}
	if s.limits.AllowedCalls != nil && !slices.Contains(s.limits.AllowedCalls, call.Op) {
		return answer, fmt.Errorf("no call named %.20q here", call.Op)
	}
	if s.isWatch(call) {
		return answer, s.watch(ctx, connection)
	}
	var err error
	switch call.Op {
	case opMeta:
		answer.Meta, err = s.store.Meta(ctx)
	case opSince:
		answer.Page, err = s.store.Since(ctx, call.After, min(max(call.Limit, 1), maxSinceLimit))
	case opWrite:
		answer.Entries, answer.Meta, err = s.store.Write(ctx, call.Epoch, call.Changes)
	case opWait:
		err = s.store.Wait(ctx, time.Duration(call.Limit)*time.Millisecond)
	default:
		err = fmt.Errorf("no call named %.20q", call.Op)
	}
	return answer, err
}

// watch sends the positions of the replica's copy to a client until the client disconnects or is too slow.
func (s *server) watch(ctx context.Context, connection net.Conn) error {
	connection.SetReadDeadline(time.Time{})
	err := s.replica.Watch(ctx, func(position *Position) error {
		var line []byte // empty: a heartbeat
		if position != nil {
			line, _ = json.Marshal(position) // can't fail: a struct of strings and numbers
		}
		connection.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
		_, err := connection.Write(append(line, '\n'))
		return err
	})
	connection.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout)) // for the response
	return err
}
