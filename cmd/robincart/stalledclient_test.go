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

// stalledFor is the operators' bound for a client that stops in the middle of its request and stays connected: by
// then it has an error or a close.
const stalledFor = 3 * time.Second

// A client that stops in the middle of a request and stays connected is answered in time, wherever it stops, on a
// new connection and on one that has carried a request before. No server gets it as a complete request.
func TestStalledClient_InRequestIsAnsweredInTime(t *testing.T) {
	var asks, whole atomic.Int32 // complete requests that were sent, and that a server has read
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err == nil {
			whole.Add(1)
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
	length := func(whole, sent int) string {
		return head(fmt.Sprintf("Content-Length: %d\r\n", whole)) + strings.Repeat("x", sent)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 4096, strings.Repeat("x", 4096))
	stops := map[string]func() string{
		"in the request line":             func() string { return "POST /bo" },
		"in the head":                     func() string { return strings.TrimSuffix(head(""), "\r\n") },
		"before the body":                 func() string { return length(200, 0) },
		"in a small body":                 func() string { return length(200, 100) },
		"in a body of 60 KB":              func() string { return length(60<<10, 40<<10) },
		"in a body of 400 KB":             func() string { return length(400<<10, 300<<10) },
		"in a chunk's size":               func() string { return head("Transfer-Encoding: chunked\r\n") + "10" },
		"behind many chunks":              func() string { return head("Transfer-Encoding: chunked\r\n") + strings.Repeat(chunk, 10) },
		"behind chunks of a large body":   func() string { return head("Transfer-Encoding: chunked\r\n") + strings.Repeat(chunk, 60) },
		"before the body that it offered": func() string { return head("Content-Length: 100\r\nExpect: 100-continue\r\n") },
	}
	t.Cleanup(func() { assert.Equal(t, asks.Load(), whole.Load()) })
	for name, text := range stops {
		for _, used := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, used before: %v", name, used), func(t *testing.T) {
				t.Parallel()
				c, err := net.Dial("tcp", p.addr)
				require.NoError(t, err)
				defer c.Close()
				buf := make([]byte, 4096)
				if used {
					asks.Add(1)
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
					assert.Less(t, took, stalledFor)
					if err == nil {
						assert.Regexp(t, "^HTTP/1.1 [45]", string(buf[:n]))
					}
					break
				}
			})
		}
	}
}

// The same where the incomplete request arrives together with a complete one before it: that is answered, and the
// rest has its bound.
func TestStalledClient_BehindCompleteRequestIsAnsweredInTime(t *testing.T) {
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
			assert.Less(t, took, stalledFor)
		})
	}
}
