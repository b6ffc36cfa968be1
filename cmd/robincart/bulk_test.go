package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/wire"
)

// bulkServer is an HTTP server for large bodies. It reads a body as it arrives, and writes a response in pieces, with
// the framing given in the URL query.
type bulkServer struct {
	net.Listener
	mu   sync.Mutex
	sums map[string][32]byte // SHA-256 of each complete body, by trace ID
}

func newBulkServer(t *testing.T) *bulkServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &bulkServer{Listener: ln, sums: map[string][32]byte{}}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (b *bulkServer) bodies() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sums)
}

// randomBody returns n random bytes. The same n gives the same bytes.
func randomBody(n int) []byte {
	b := make([]byte, n)
	rand.New(rand.NewSource(int64(n))).Read(b)
	return b
}

func (b *bulkServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		sum := sha256.New()
		if _, err := io.Copy(sum, q.Body); err != nil {
			return // incomplete, so the request never ran
		}
		b.mu.Lock()
		b.sums[q.Header.Get("X-Trace-Id")] = [32]byte(sum.Sum(nil))
		b.mu.Unlock()
		framing, size, _ := strings.Cut(strings.TrimPrefix(q.URL.RawQuery, "a="), ".")
		n, _ := strconv.Atoi(size)
		if !b.respond(c, framing, n) {
			return
		}
	}
}

// firstWriteBytes is the number of bytes of a response that are written in the first call. A node reads a response of
// at most this size, and the beginning of a larger response, within half a second after the first byte. If these bytes
// were written in several calls, and a busy machine paused the server between two calls, the server would fail.
const firstWriteBytes = 80 << 10

// respond writes a response: the first firstWriteBytes in one call, and the rest in pieces. It reports whether the
// connection stays open.
func (b *bulkServer) respond(c net.Conn, framing string, n int) bool {
	w := bufio.NewWriterSize(c, firstWriteBytes)
	switch framing {
	case "length":
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n)
	case "chunks":
		fmt.Fprintf(w, "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n")
	case "end":
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	case "short": // the server closes the connection after half of the body
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*n)
	}
	body := randomBody(n)
	written := 0
	for k := 0; written < n; k++ {
		piece := body[written:min(n, written+1+(k*7919)%40_000)]
		written += len(piece)
		if framing == "chunks" {
			fmt.Fprintf(w, "%x;x=y\r\n%s\r\n", len(piece), piece)
		} else {
			w.Write(piece)
		}
		if written > firstWriteBytes && w.Flush() != nil {
			return false
		}
	}
	if framing == "chunks" {
		io.WriteString(w, "0\r\nTrailer: x\r\n\r\n")
	}
	return w.Flush() == nil && framing != "end" && framing != "short"
}

// unevenReader reads a body in pieces of varying sizes.
type unevenReader struct {
	io.Reader
	reads int
}

func (c *unevenReader) Read(p []byte) (int, error) {
	c.reads++
	if c.reads%50 == 0 {
		time.Sleep(time.Millisecond)
	}
	return c.Reader.Read(p[:min(len(p), 1+(c.reads*104_729)%30_000)])
}

func TestBodies_LargePassUnchangedInEveryFraming(t *testing.T) {
	s := newBulkServer(t)
	d := newDiscovery(t, newMember("s0", s.Addr().String(), "ready"))
	config := newConfig(t, d, d.members()...)
	// Under the race detector on a busy machine, the transfer of 64 MiB takes seconds. This test does not check
	// durations.
	times := regexp.MustCompile(`"(Aim|Deadline)Ms":\s*\d+`)
	config["settings"] = json.RawMessage(times.ReplaceAllString(testSettings, `"${1}Ms":60000`))
	p := startTestNode(t, config)
	type bodyCase struct {
		body, answer int
		framing      string
		chunked      bool
	}
	var cases []bodyCase
	for _, framing := range []string{"length", "chunks", "end"} {
		for _, n := range []int{0, 1, 65_535, 65_536, 65_537, 70_000, 3 << 20} {
			cases = append(cases, bodyCase{n, n, framing, false}, bodyCase{n, 70_000, framing, true})
		}
	}
	cases = append(cases, bodyCase{32 << 20, 32 << 20, "length", false}, bodyCase{32 << 20, 1, "chunks", true})
	before := peakMemory(t, p)
	var workers sync.WaitGroup
	work := make(chan bodyCase)
	for range 6 {
		workers.Go(func() {
			for x := range work {
				sent := randomBody(x.body)
				var body io.Reader = &unevenReader{Reader: strings.NewReader(string(sent))}
				url := fmt.Sprintf("http://%s/charge/x?a=%s.%d", p.addr, x.framing, x.answer)
				q, err := http.NewRequest("POST", url, body)
				if !assert.NoError(t, err) {
					return
				}
				if q.ContentLength = int64(x.body); x.chunked || x.body == 0 {
					q.ContentLength = -1
				}
				id := nextTraceID()
				setHeaders(q, map[string]string{
					"X-Trace-Id":      id,
					"X-Qos":           "charge",
					"X-Customer":      "acme",
					"X-Expires-In-Ms": "60000",
					"Expect":          "100-continue",
				})
				r, err := client.Do(q)
				if !assert.NoError(t, err, "%+v", x) {
					continue
				}
				got, err := io.ReadAll(r.Body)
				r.Body.Close()
				assert.NoError(t, err, "%+v", x)
				assert.Equal(t, 200, r.StatusCode, "%+v", x)
				assert.True(t, string(got) == string(randomBody(x.answer)), "%+v: %d bytes", x, len(got))
				s.mu.Lock()
				assert.Equal(t, sha256.Sum256(sent), s.sums[id], "%+v", x)
				s.mu.Unlock()
			}
		})
	}
	for _, x := range cases {
		work <- x
	}
	close(work)
	workers.Wait()
	// Some hundred MB have been transferred by now.
	assert.Less(t, peakMemory(t, p)-before, int64(64<<20), "memory grew with the transferred bytes")
}

// peakMemory returns a process's peak resident memory, in bytes.
func peakMemory(t *testing.T, p *testNode) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	require.NoError(t, err)
	for line := range strings.SplitSeq(string(text), "\n") {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(kb), "kB")), 10, 64)
			require.NoError(t, err)
			return n << 10
		}
	}
	return 0
}

// newRequestHead returns a request head with a unique trace ID.
func newRequestHead(line string, more ...string) string {
	return requestHead(line, "charge", append(more, "X-Trace-Id: "+nextTraceID())...)
}

// A large body that is truncated by the client or the server gets the prescribed response, and does not affect other
// requests.
func TestBodies_LargeTruncated(t *testing.T) {
	s := newBulkServer(t)
	d := newDiscovery(t, newMember("s0", s.Addr().String(), "ready"))
	p := startTestNode(t, newConfig(t, d, d.members()...))
	head := func(more string) string { return newRequestHead("POST /charge/x?a=length.5", more) }
	write := func(text string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", p.addr)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, text)
		return c, bufio.NewReader(c)
	}
	// The client closes the connection or stops sending: the request reaches no server.
	c, _ := write(head("Content-Length: 1000000") + strings.Repeat("x", 300_000))
	c.Close()
	_, r := write(head("Content-Length: 100000") + strings.Repeat("x", 10_000))
	a, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	assert.Contains(t, []int{408, 503}, a.StatusCode)
	// A body exceeds the maximum size. The node detects this by the Content-Length or, if the body is chunked, while it
	// reads the body.
	_, r = write(head("Content-Length: 60000000") + strings.Repeat("x", 10_000))
	a, err = http.ReadResponse(r, nil)
	require.NoError(t, err)
	assert.Equal(t, 413, a.StatusCode)
	c, r = write(head("Transfer-Encoding: chunked"))
	go func() {
		for piece := fmt.Sprintf("10000\r\n%s\r\n", strings.Repeat("x", 1<<16)); ; {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
		}
	}()
	if a, err = http.ReadResponse(r, nil); err == nil { // the connection may be reset while the client still sends
		assert.GreaterOrEqual(t, a.StatusCode, 400)
	}
	// A chunk lacks the line end after its data.
	_, r = write(head("Transfer-Encoding: chunked") + "20000\r\n" + strings.Repeat("x", 0x20000) +
		"no end\r\n0\r\n\r\n")
	a, err = http.ReadResponse(r, nil)
	require.NoError(t, err)
	assert.GreaterOrEqual(t, a.StatusCode, 400)
	assert.Zero(t, s.bodies())
	// The server closes while responding: the client receives the bytes that were sent, and then an error.
	q, err := http.NewRequest("POST", "http://"+p.addr+"/charge/x?a=short.200000", strings.NewReader("x"))
	require.NoError(t, err)
	setHeaders(q, map[string]string{
		"X-Trace-Id":      nextTraceID(),
		"X-Qos":           "charge",
		"X-Customer":      "acme",
		"X-Expires-In-Ms": "3000",
	})
	res, err := client.Do(q)
	require.NoError(t, err)
	got, err := io.ReadAll(res.Body)
	res.Body.Close()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.True(t, string(got) == string(randomBody(200_000)))
	assert.Equal(t, 1, s.bodies())
	// A client that does not read its response delays no other client, and does not prevent a shutdown.
	write(newRequestHead("POST /charge/x?a=length.30000000", "Content-Length: 0"))
	require.Eventually(t, func() bool { return s.bodies() == 2 }, 10*time.Second, time.Millisecond)
	(&testNode{t: t, addr: p.addr}).send("charge", "x")
	assert.Equal(t, 3, s.bodies())
	p.stop(20 * time.Second)
}

func TestBodies_SlowClientIsServed(t *testing.T) {
	s := newBulkServer(t)
	d := newDiscovery(t, newMember("s0", s.Addr().String(), "ready"))
	p := startTestNode(t, newConfig(t, d, d.members()...))
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	text := newRequestHead("POST /charge/x?a=length.1", "Content-Length: 150000", "X-Expires-In-Ms: 900")
	text += strings.Repeat("x", 150_000)
	head := strings.Index(text, "\r\n\r\n")
	for i := range 4 { // the head takes 1 s
		io.WriteString(c, text[i*head/4:(i+1)*head/4])
		time.Sleep(250 * time.Millisecond)
	}
	for text = text[head:]; len(text) > 0; {
		n := min(len(text), 6400)
		io.WriteString(c, text[:n])
		text = text[n:]
		time.Sleep(100 * time.Millisecond)
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, 200, a.StatusCode, "the deadline counts from the last byte of the request")
}

// A small node admits requests by the memory that they use, and does not reserve the maximum body and response size for
// each request. A body for which no memory is left is streamed.
func TestBodies_SmallNodeHoldsManyRequests(t *testing.T) {
	const callers = 170
	allArrived := make(chan struct{})
	reportAll := sync.OnceFunc(func() { close(allArrived) })
	var s *server
	s = newServer(t, func(c net.Conn, q *wire.Request) bool {
		if s.count() >= callers {
			reportAll()
		}
		select {
		case <-allArrived:
		case <-time.After(4 * time.Second): // reached only if some requests were rejected
		}
		return respond(200, strings.Repeat("y", 3000))(c, q)
	})
	d := newDiscovery(t, newMember("s0", s.addr(), "ready"))
	c := newConfig(t, d, d.members()...)
	c["limits"] = map[string]any{"cores": 1, "memory_mb": 32, "sockets": 1024}
	// With Stage 1, the node belongs to an inner tier. It admits all requests that can be served before their deadline.
	c["settings"] = json.RawMessage(strings.Replace(testSettings, `"Instances":1`, `"Instances":1,"Stage":1`, 1))
	p := startTestNode(t, c)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { assert.Equal(t, 200, p.send("slow", strings.Repeat("x", 60_000)).status) })
	}
	group.Wait()
	assert.Equal(t, 200, p.send("slow", "x").status)
}
