package fanout

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/system/socket"
)

const (
	listPath = "/registry/instances"

	// requestTimeout bounds the time for the TLS handshake, if there is one, and for reading a request.
	requestTimeout = 5 * time.Second
	// maxRequestBytes bounds the size of a request.
	maxRequestBytes   = 8 << 10
	requestBufferSize = 1 << 10
	// rejectTimeout bounds the time for sending an answer to a connection beyond MaxWatchers. The accept loop waits
	// during this time.
	rejectTimeout = 100 * time.Millisecond
	// maxAcceptPause is the longest pause after a failed accept. An accept fails when the machine lacks a resource.
	maxAcceptPause = 5 * time.Millisecond
)

// Statuses and headers of responses.
const (
	statusOK               = "200 OK"
	statusBadRequest       = "400 Bad Request"
	statusNotFound         = "404 Not Found"
	statusMethodNotAllowed = "405 Method Not Allowed"
	statusUnavailable      = "503 Service Unavailable"

	headerJSON       = "Content-Type: application/json\r\n"
	headerAllowGet   = "Allow: GET\r\n"
	headerRetryAfter = "Retry-After: 1\r\n"
)

const (
	rejection = "HTTP/1.1 " + statusUnavailable + "\r\nContent-Length: 0\r\nConnection: close\r\n" +
		headerRetryAfter + "\r\n"
	watchHeader = "HTTP/1.1 " + statusOK + "\r\n" + headerJSON + "Transfer-Encoding: chunked\r\n\r\n"
)

// Serve answers nodes' requests on a listener until the context ends. Before Serve returns, it waits for the goroutines
// that it started. The returned error is always nil.
func (l *List) Serve(ctx context.Context, listener net.Listener) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	backoff := socket.NewAcceptBackoff(maxAcceptPause)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.log.Warn("accept failed", zap.Error(err))
			time.Sleep(backoff.Failed())
			continue
		}
		backoff.Succeeded()
		if l.watchers.Add(1) > int64(l.config.MaxWatchers) {
			l.watchers.Add(-1)
			l.rejected.Add(1)
			reject(conn)
			continue
		}
		connections.Go(func() {
			defer l.watchers.Add(-1)
			defer conn.Close()
			l.serveConn(ctx, conn)
		})
	}
}

// reject closes a connection beyond MaxWatchers. It sends an answer only over plain TCP: over TLS, the answer would
// need a handshake first, and all new connections would have to wait for that handshake.
func reject(conn net.Conn) {
	if _, plain := conn.(*net.TCPConn); plain {
		conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
		io.WriteString(conn, rejection)
	}
	conn.Close()
}

// listRequest is a node's request for the list.
type listRequest struct {
	since  int64 // the node's revision; 0: none
	follow bool  // true: a watch is requested
}

// errorResponse is the answer to an invalid request.
type errorResponse struct {
	status  string
	headers string
}

// serveConn serves one connection: it answers one request, with a watch if the request asks for a watch.
func (l *List) serveConn(ctx context.Context, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(requestTimeout)) // for writes, too: the first read may do a TLS handshake
	reader := bufio.NewReaderSize(io.LimitReader(conn, maxRequestBytes), requestBufferSize)
	httpRequest, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	request, invalid := parseRequest(httpRequest)
	if invalid != nil {
		l.respond(conn, invalid.status, invalid.headers, nil)
		return
	}
	first := l.firstUpdate(request.since)
	switch {
	case first.chunk == nil:
		l.respond(conn, statusUnavailable, headerRetryAfter, nil)
	case request.follow:
		l.watch(ctx, conn, first)
	default:
		if request.since > 0 {
			first = l.snapshotUpdate()
		}
		l.respond(conn, statusOK, headerJSON, lineOf(first.chunk))
	}
}

// parseRequest decodes a request, or returns the answer to an invalid request.
func parseRequest(request *http.Request) (listRequest, *errorResponse) {
	query := request.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	switch {
	case request.URL.Path != listPath:
		return listRequest{}, &errorResponse{status: statusNotFound}
	case request.Method != http.MethodGet:
		return listRequest{}, &errorResponse{status: statusMethodNotAllowed, headers: headerAllowGet}
	case query.Get("since") == "":
		since = 0
	case err != nil || since < 0:
		return listRequest{}, &errorResponse{status: statusBadRequest}
	}
	return listRequest{since: since, follow: query.Get("follow") == "1"}, nil
}

// respond writes a response that is not a watch.
func (l *List) respond(conn net.Conn, status, headers string, body []byte) {
	conn.SetWriteDeadline(time.Now().Add(l.config.WriteTimeout))
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, headers, len(body), body)
}

// watch sends updates and heartbeats until the node closes the connection, a write fails, or the context ends. A node
// that reads too slowly is disconnected by the write timeout. The node then connects again and sends the revision of
// its list.
func (l *List) watch(ctx context.Context, conn net.Conn, next update) {
	closed, stopReading := detectClose(conn)
	defer stopReading()
	if l.write(conn, []byte(watchHeader)) != nil {
		return
	}
	ticker := time.NewTicker(l.config.HeartbeatInterval)
	defer ticker.Stop()
	for {
		for next.chunk != nil {
			if l.write(conn, next.chunk) != nil {
				return
			}
			next = l.nextUpdate(next.revision)
		}
		select {
		case <-ctx.Done():
			return
		case <-closed:
			return
		case <-next.changed:
			next = l.nextUpdate(next.revision)
		case <-ticker.C:
			if l.write(conn, heartbeat) != nil {
				return
			}
		}
	}
}

func (l *List) write(conn net.Conn, data []byte) error {
	conn.SetWriteDeadline(time.Now().Add(l.config.WriteTimeout))
	_, err := conn.Write(data)
	return err
}

// detectClose reads from a connection on which no more data is expected. The returned channel is closed when the peer
// has closed the connection. The returned function closes the connection and waits until the read has returned.
func detectClose(conn net.Conn) (<-chan struct{}, func()) {
	conn.SetReadDeadline(time.Time{})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		conn.Read(make([]byte, 1))
	}()
	return closed, func() {
		conn.Close()
		<-closed
	}
}
