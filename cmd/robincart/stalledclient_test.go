package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxStallTime is the time limit, set by operators, for a client that stops in the middle of its request and stays
// connected: within this time, the client must get an error response, or its connection must be closed.
const maxStallTime = 3 * time.Second

// A client that stops in the middle of a request and stays connected is answered within maxStallTime, wherever it
// stops, on a new connection and on a reused connection. No server receives the request as a complete request.
func TestStalledClient_InRequestIsAnsweredInTime(t *testing.T) {
	var sentComplete, readComplete atomic.Int32 // number of complete requests that clients sent, and that servers read
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err == nil {
			readComplete.Add(1)
		}
		io.WriteString(w, "x")
	}))
	t.Cleanup(s.Close)
	d := newDiscovery(t, newMember("s0", s.Listener.Addr().String(), "ready"))
	p := startTestNode(t, newConfig(t, d, d.members()...))
	head := func(lines string) string {
		return fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %s\r\nX-Qos: book\r\nX-Customer: acme\r\n"+
			"X-Expires-In-Ms: 3000\r\nIdempotency-Key: k%d\r\n%s\r\n", nextTraceID(), requestCount.Load(), lines)
	}
	length := func(size, sent int) string {
		return head(fmt.Sprintf("Content-Length: %d\r\n", size)) + strings.Repeat("x", sent)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 4096, strings.Repeat("x", 4096))
	partialRequests := map[string]func() string{
		"in the request line":          func() string { return "POST /bo" },
		"in the head":                  func() string { return strings.TrimSuffix(head(""), "\r\n") },
		"before the body":              func() string { return length(200, 0) },
		"in a small body":              func() string { return length(200, 100) },
		"in a body of 60 KB":           func() string { return length(60<<10, 40<<10) },
		"in a body of 400 KB":          func() string { return length(400<<10, 300<<10) },
		"in a chunk's size":            func() string { return head("Transfer-Encoding: chunked\r\n") + "10" },
		"after many chunks":            func() string { return head("Transfer-Encoding: chunked\r\n") + strings.Repeat(chunk, 10) },
		"after chunks of a large body": func() string { return head("Transfer-Encoding: chunked\r\n") + strings.Repeat(chunk, 60) },
		"before a body with Expect":    func() string { return head("Content-Length: 100\r\nExpect: 100-continue\r\n") },
	}
	t.Cleanup(func() { assert.Equal(t, sentComplete.Load(), readComplete.Load()) })
	for name, text := range partialRequests {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, used before: %v", name, reused), func(t *testing.T) {
				t.Parallel()
				c, err := net.Dial("tcp", p.addr)
				require.NoError(t, err)
				defer c.Close()
				buf := make([]byte, 4096)
				if reused {
					sentComplete.Add(1)
					_, err := io.WriteString(c, length(4, 4))
					require.NoError(t, err)
					c.SetReadDeadline(time.Now().Add(5 * time.Second))
					n, err := c.Read(buf)
					require.NoError(t, err)
					require.Contains(t, string(buf[:n]), "200")
				}
				began := time.Now()
				_, err = io.WriteString(c, text())
				require.NoError(t, err)
				for {
					c.SetReadDeadline(began.Add(10 * time.Second))
					n, err := c.Read(buf)
					if err == nil && strings.HasPrefix(string(buf[:n]), "HTTP/1.1 100") {
						continue
					}
					took := time.Since(began)
					t.Logf("%v: %.40q, %v", took, buf[:n], err)
					assert.Less(t, took, maxStallTime)
					if err == nil {
						assert.Regexp(t, "^HTTP/1.1 [45]", string(buf[:n]))
					}
					break
				}
			})
		}
	}
}

// An incomplete request arrives together with a complete request before it. The complete request is served, and the
// incomplete request ends within maxStallTime.
func TestStalledClient_AfterCompleteRequestIsClosedInTime(t *testing.T) {
	p, _ := startWithServers(t, newServer(t, respond(200, "x")))
	request := func() string {
		return findRequest(nextTraceID())
	}
	for _, part := range []int{1, 30, 100} {
		t.Run(fmt.Sprint(part, " bytes"), func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", p.addr)
			require.NoError(t, err)
			defer c.Close()
			began := time.Now()
			_, err = io.WriteString(c, request()+request()[:part])
			require.NoError(t, err)
			c.SetReadDeadline(began.Add(10 * time.Second))
			all, err := io.ReadAll(c)
			took := time.Since(began)
			require.NoError(t, err)
			assert.Contains(t, string(all), "200 OK")
			assert.Less(t, took, maxStallTime)
		})
	}
}
