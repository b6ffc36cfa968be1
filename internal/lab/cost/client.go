package cost

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	dialTimeout       = 10 * time.Second
	callDeadline      = 5 * time.Second  // that a call is sent with
	lateAnswerTimeout = 10 * time.Second // after the end of a measurement
	maxResponse       = 512              // bytes
	statusBegin       = len("HTTP/1.1 ")
	statusEnd         = statusBegin + len("200")
)

// client is one connection, on which one call is made after another.
type client struct {
	net.Conn
	traceID  uint64 // of the latest call
	request  []byte
	response []byte
}

// dial connects, from a local address if one is given. The number goes into the trace IDs: calls of clients with the
// same number have the same ones.
func dial(address, localIP string, number int) (*client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if localIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	const callsBits = 32
	return &client{Conn: conn, traceID: uint64(number) << callsBits}, nil
}

// call makes a call under the next trace ID and returns the status of its response.
func (c *client) call() (int, error) {
	c.traceID++
	return c.callPath(methodName, callDeadline)
}

// callPath makes a call under the current trace ID.
func (c *client) callPath(path string, timeLeft time.Duration) (int, error) {
	c.request = fmt.Appendf(c.request[:0],
		"GET /%s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n\r\n",
		path, c.traceID, methodName, max(1, timeLeft.Milliseconds()))
	if _, err := c.Write(c.request); err != nil {
		return 0, err
	}
	return c.readStatus()
}

// readStatus reads a response with its body and returns its status.
func (c *client) readStatus() (int, error) {
	if c.response == nil {
		c.response = make([]byte, maxResponse)
	}
	for filled := 0; ; {
		n, err := c.Read(c.response[filled:])
		if err != nil {
			return 0, err
		}
		filled += n
		if isCompleteResponse(c.response[:filled]) {
			return strconv.Atoi(string(c.response[statusBegin:statusEnd]))
		}
	}
}

// isCompleteResponse reports whether the bytes are a response's head and all of its body.
func isCompleteResponse(response []byte) bool {
	end := bytes.Index(response, headEnd)
	if end < 0 {
		return false
	}
	size := 0
	if text := headerValue(response[:end+2], "Content-Length: "); text != "" {
		size, _ = strconv.Atoi(text)
	}
	return len(response) >= end+len(headEnd)+size
}

// headerValue returns the value of a header field, or nothing. Its name ends with a colon and a space, and is written
// as the lab's own programs and the node write it.
func headerValue(head []byte, name string) string {
	_, after, found := bytes.Cut(head, []byte("\r\n"+name))
	if !found {
		return ""
	}
	value, _, _ := bytes.Cut(after, []byte("\r\n"))
	return string(value)
}

// releaseBuffers gives up the buffers of a client that is to be idle. The next call makes new ones.
func (c *client) releaseBuffers() { c.request, c.response = nil, nil }

// isOK reports whether a call was answered with success.
func isOK(status int, err error) bool { return err == nil && status == http.StatusOK }

// callUntil makes one call after another until the end, and returns the error of a call that got no answer. Those that
// start before begin are not recorded.
func (c *client) callUntil(
	ctx context.Context, begin, end time.Time, record func(status int, latency time.Duration),
) error {
	for ctx.Err() == nil {
		start := time.Now()
		if start.After(end) {
			return nil
		}
		status, err := c.call()
		if err != nil {
			return err
		}
		if !start.Before(begin) {
			record(status, time.Since(start))
		}
	}
	return nil
}

// dialClients connects clients that call until the end. The address is that of the i-th.
func dialClients(count int, end time.Time, address func(i int) string) ([]*client, error) {
	var clients []*client
	for i := range count {
		client, err := dial(address(i), "", i+1)
		if err != nil {
			closeClients(clients)
			return nil, err
		}
		client.SetDeadline(end.Add(lateAnswerTimeout))
		clients = append(clients, client)
	}
	return clients, nil
}

func closeClients(clients []*client) {
	for _, client := range clients {
		client.Close()
	}
}
