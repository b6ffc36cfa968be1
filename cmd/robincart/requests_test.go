package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/wire"
	"robincart/internal/testutil"
)

func TestRequest_ServedUnchanged(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 4096)
	echo := newServer(t, func(c net.Conn, q *wire.Request) bool {
		c.Write(wire.AppendResponse(nil, 200, "Content-Type: text/x\r\n", q.Body))
		return true
	})
	p, _ := startWithServers(t, echo)
	for _, text := range []string{"hello", body, ""} {
		r := p.sendWith("book", text, map[string]string{"X-Trace-Id": fmt.Sprint("9b1f03aa", len(text))})
		require.NoError(t, r.err)
		assert.Equal(t, 200, r.status)
		assert.Equal(t, text, r.body)
		assert.Equal(t, "text/x", r.header.Get("Content-Type"))
	}
	got := echo.requests[0]
	assert.Equal(t, "POST /book/table?k=7", got.Verb+" "+got.Target)
	assert.Equal(t, "9b1f03aa5", got.Header.Get("X-Trace-Id"))
	assert.Equal(t, "5c0f6e1a", got.Header.Get("Idempotency-Key"))
	left, err := strconv.Atoi(got.Header.Get("X-Expires-In-Ms"))
	assert.NoError(t, err)
	assert.True(t, left > 2000 && left <= 3000, left)
	assert.Equal(t, 200, p.send("find", "").status)
}

func TestRequest_RejectionIsSafeToRetryAbortIsNot(t *testing.T) {
	full, failing := newServer(t, respond(503, "")), newServer(t, respond(500, ""))
	p, _ := startWithServers(t, full)
	r := p.send("charge", "x")
	assert.Equal(t, 503, r.status)
	wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	assert.NoError(t, err)
	assert.Greater(t, wait, 0.0)

	p, _ = startWithServers(t, failing, newServer(t, respond(500, "")))
	r = p.send("charge", "x")
	assert.Contains(t, []int{500, 504}, r.status, "it may have run")
	r = p.send("find", "")
	assert.Equal(t, 503, r.status, "a retry is safe")
}

func TestRequest_ClientGoneCancelsAttempt(t *testing.T) {
	closed := make(chan time.Time, 1)
	arrived := make(chan bool, 1)
	slow := newServer(t, func(c net.Conn, q *wire.Request) bool {
		arrived <- true
		hang(c, q)
		closed <- time.Now()
		return false
	})
	p, _ := startWithServers(t, slow)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	io.WriteString(c, requestHead("GET /find", "find"))
	testutil.Receive(t, arrived)
	closedAt := time.Now()
	c.Close()
	assert.WithinDuration(t, closedAt, testutil.Receive(t, closed), 2*time.Second)
}

// requestHead returns a request's head. Each header in the parameter more replaces the default header of the same name.
// A header without a value removes the default header.
func requestHead(line, method string, more ...string) string {
	headers := []string{"Host: service.internal", "X-Trace-Id: 9b1f", "X-Qos: " + method, "X-Customer: acme",
		"X-Expires-In-Ms: 1000"}
	for _, m := range more {
		name, value, _ := strings.Cut(m, ":")
		for i, h := range headers {
			if strings.HasPrefix(h, name+":") {
				headers = append(headers[:i], headers[i+1:]...)
				break
			}
		}
		if value != "" {
			headers = append(headers, m)
		}
	}
	return line + " HTTP/1.1\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n"
}

func TestRequest_MalformedIsAnsweredAndNotForwarded(t *testing.T) {
	s := newServer(t, respond(200, ""))
	p, _ := startWithServers(t, s)
	for text, status := range map[string]int{
		"nonsense\r\n\r\n":                         400,
		"GET /find HTTP/1.1\r\nbad header\r\n\r\n": 400,
		requestHead("POST /charge", "charge", "Content-Length: 1", "content-length: 2") + "ab":   400,
		requestHead("POST /charge", "charge", "Content-Length: 1", "Transfer-Encoding: chunked"): 400,
		requestHead("POST /charge", "charge", "Content-Length: x"):                               400,
		requestHead("GET /find", "find", "X-Expires-In-Ms:"):                                     400,
		requestHead("GET /find", "find", "X-Expires-In-Ms: soon"):                                400,
		requestHead("GET /find", "find", "X-Expires-In-Ms: 1e3"):                                 400,
		requestHead("GET /find", "find", "X-Trace-Id:"):                                          400,
		requestHead("GET /find", "find", "X-Customer: nobody"):                                   400,
		requestHead("GET /find", "find", "X-Customer:"):                                          400,
		requestHead("GET /find", "book"):                                                         400,
		requestHead("GET /find", "find", "X-Qos:"):                                               400,
		requestHead("GET /find", "find", "Content-Length: 1") + "x":                              400,
		requestHead("POST /book", "book"):                                                        400,
		requestHead("POST /charge", "charge", "Content-Length: 33554433"):                        413,
		requestHead("GET /find", "find", "X-Props: "+strings.Repeat("a", 20000)):                 431,
		requestHead("GET /nowhere", "find"):                                                      404,
		requestHead("GET /", "find"):                                                             404,
		requestHead("POST /find", "find"):                                                        405,
		requestHead("GET /charge", "charge"):                                                     405,
		"POST /health/ready HTTP/1.1\r\nHost: n\r\n\r\n":                                         405,
	} {
		c, err := net.Dial("tcp", p.addr)
		require.NoError(t, err)
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if assert.NoError(t, err, "%.80q", text) {
			assert.Equal(t, status, r.StatusCode, "%.80q", text)
		}
		c.Close()
	}
	assert.Zero(t, s.count())
	assert.Equal(t, 200, p.send("find", "").status)
}

func TestRequest_IncompleteTimesOut(t *testing.T) {
	t.Parallel()
	p, _ := startWithServers(t, newServer(t, respond(200, "")))
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer c.Close()
	io.WriteString(c, "GET /find HTT")
	c.SetReadDeadline(time.Now().Add(8 * time.Second))
	text, err := io.ReadAll(c)
	assert.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(text), "HTTP/1.1 408 "), "%q", text)
}
