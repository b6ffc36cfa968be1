package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	stdfcgi "net/http/fcgi"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/standin"
	"robincart/internal/protocol/fcgi"
)

const fastcgiService = `
[[service]]
name = "gateway"
speaks = "fastcgi"
servers = [%s]
params = { SCRIPT_FILENAME = "/srv/gateway.php" }
  [[service.method]]
  name = "find"
  repeat = "idempotent"
  deadline = "3s"
  [[service.method]]
  name = "book"
  repeat = "deduplicated"
  window = "10s"
  deadline = "3s"
  [[service.method]]
  name = "charge"
  deadline = "3s"
`

func startApplications(t *testing.T, n int, serve func(c net.Conn, q *standin.ApplicationRequest) bool) *testNode {
	var addrs []string
	for range n {
		s := &standin.Application{Serve: serve}
		require.NoError(t, s.Start("127.0.0.1:0"))
		t.Cleanup(s.Stop)
		addrs = append(addrs, fmt.Sprintf("%q", s.Addr()))
	}
	return startServices(t, fmt.Sprintf(fastcgiService, strings.Join(addrs, ", ")))
}

// failures are ways in which an application fails after it has run a request, by name.
var failures = map[string]func(c net.Conn, q *standin.ApplicationRequest) bool{
	"before the answer": func(net.Conn, *standin.ApplicationRequest) bool { return false },
	"in a record's head": func(c net.Conn, q *standin.ApplicationRequest) bool {
		return writePart(c, q.Answered("Status: 200", "x"), 5)
	},
	"in the CGI head": func(c net.Conn, q *standin.ApplicationRequest) bool {
		return writePart(c, q.Answered("Status: 200", "x"), 14)
	},
	"in the body": func(c net.Conn, q *standin.ApplicationRequest) bool {
		return writePart(c, q.Answered("Status: 200", "xxxxxxxxx"), 30)
	},
	"in the END": func(c net.Conn, q *standin.ApplicationRequest) bool {
		a := q.Answered("Status: 200", "x")
		return writePart(c, a, len(a)-3)
	},
	"END without STDOUT": func(c net.Conn, q *standin.ApplicationRequest) bool {
		return writePart(c, fcgi.AppendEnd(nil, q.ID, 0, fcgi.StatusComplete), 0)
	},
	"STDOUT after END": func(c net.Conn, q *standin.ApplicationRequest) bool {
		end := fcgi.AppendEnd(nil, q.ID, 0, fcgi.StatusComplete)
		return writePart(c, append(end, q.Answered("Status: 200", "another's")...), 0)
	},
	"another request's ID": func(c net.Conn, q *standin.ApplicationRequest) bool {
		other := *q
		other.ID++
		return writePart(c, other.Answered("Status: 200", "another's"), 0)
	},
	"a nonzero exit status": func(c net.Conn, q *standin.ApplicationRequest) bool {
		stdout := fcgi.AppendStream(nil, fcgi.TypeStdout, q.ID, []byte("Status: 200\n\nx"))
		return writePart(c, fcgi.AppendEnd(stdout, q.ID, 9, fcgi.StatusComplete), 0)
	},
	"STDERR only": func(c net.Conn, q *standin.ApplicationRequest) bool {
		return writePart(c, fcgi.AppendStream(nil, fcgi.TypeStderr, q.ID, make([]byte, 100_000)), 0) && false
	},
}

func writePart(c net.Conn, b []byte, n int) bool {
	if n > 0 {
		c.Write(b[:n])
		return false
	}
	_, err := c.Write(b)
	return err == nil
}

// Applications fail at various points after they have run a request. Each request gets one response, no "book" or
// "charge" request takes effect twice, and a request that may have run is never reported as safe to retry.
func TestFastCGI_ApplicationDiesWhileResponding(t *testing.T) {
	var mu sync.Mutex
	attempts := 0
	runs, names, outcomes := map[string]int{}, []string{}, map[string]int{}
	for name := range failures {
		names = append(names, name)
	}
	p := startApplications(t, 4, func(c net.Conn, q *standin.ApplicationRequest) bool {
		body := "for " + q.Params["HTTP_X_TRACE_ID"]
		mu.Lock()
		outcome := ""
		switch attempts++; { // each failure in turn, so that a few attempts cover all failures
		case attempts%10 == 0:
			outcome = "refused"
		case attempts%10 == 3 || attempts%10 == 6:
			outcome = names[attempts/5%len(names)]
		}
		outcomes[outcome]++
		if outcome != "refused" {
			key := q.Params["HTTP_X_QOS"] + " " + q.Params["HTTP_X_TRACE_ID"]
			// The servers drop a request whose idempotency key has been used before. All servers share one map of the
			// runs.
			if q.Params["HTTP_IDEMPOTENCY_KEY"] == "" || runs[key] == 0 {
				runs[key]++
			}
		}
		mu.Unlock()
		switch {
		case outcome == "refused":
			return writePart(c, fcgi.AppendEnd(nil, q.ID, 0, fcgi.StatusOverloaded), 0)
		case outcome != "":
			return failures[outcome](c, q)
		}
		return writePart(c, q.Answered("Content-Type: text/plain", body), 0)
	})
	var all sync.WaitGroup
	var ok, pushedBack, aborted atomic.Int64
	for caller := range 16 {
		all.Go(func() {
			for i := range 120 {
				method := []string{"find", "book", "charge"}[(i+caller)%3]
				id := fmt.Sprintf("%08x%08x", caller+1, i)
				header := map[string]string{"X-Trace-Id": id}
				if method == "book" {
					header["Idempotency-Key"] = "mark " + id
				}
				r := p.sendWith(method, map[bool]string{true: "seats"}[method != "find"], header)
				mu.Lock()
				ran := runs["charge "+id]
				mu.Unlock()
				switch {
				case assert.NoError(t, r.err) && r.status == 200:
					ok.Add(1)
					assert.Equal(t, "for "+id, r.body)
				case r.status == 503:
					pushedBack.Add(1)
					assert.Zero(t, ran, "%s ran, and was reported as safe to retry", id)
				default:
					aborted.Add(1)
					assert.Equal(t, 504, r.status)
				}
			}
		})
	}
	all.Wait()
	mu.Lock() // abandoned attempts may still run
	defer mu.Unlock()
	t.Log(ok.Load(), pushedBack.Load(), aborted.Load(), outcomes)
	assert.Greater(t, ok.Load(), int64(50))
	for _, name := range append(names, "refused") {
		assert.Positive(t, outcomes[name], name)
	}
	for id, n := range runs {
		if !strings.HasPrefix(id, "find ") {
			assert.Equal(t, 1, n, id)
		}
	}
}

// If all requests are non-idempotent, each request runs at most once, regardless of how its server fails.
func TestFastCGI_NonIdempotentRunsOnceAtMost(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	names := []string{}
	for name := range failures {
		names = append(names, name)
	}
	var n atomic.Int64
	p := startApplications(t, 3, func(c net.Conn, q *standin.ApplicationRequest) bool {
		mu.Lock()
		ran[q.Params["HTTP_X_TRACE_ID"]]++
		mu.Unlock()
		return failures[names[int(n.Add(1))%len(names)]](c, q)
	})
	for range 60 {
		r := p.send("charge", "x")
		require.NoError(t, r.err)
		assert.Contains(t, []int{503, 504}, r.status)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.NotEmpty(t, ran)
	for id, k := range ran {
		assert.Equal(t, 1, k, id)
	}
}

// The standard library's application is an independent implementation of the protocol.
func TestFastCGI_StandardLibraryApplication(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go stdfcgi.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		text, _ := io.ReadAll(q.Body)
		w.Header().Set("Content-Type", "text/x")
		if q.URL.Path == "/book/table" {
			w.WriteHeader(500)
		}
		script := stdfcgi.ProcessEnv(q)["SCRIPT_FILENAME"]
		customer := q.Header.Get("X-Customer")
		fmt.Fprintf(w, "%s %s %s %s %s %s", q.Method, q.URL.RequestURI(), q.Host, customer, script, text)
	}))
	p := startServices(t, fmt.Sprintf(fastcgiService, fmt.Sprintf("%q", ln.Addr())))
	for range 3 {
		r := p.send("charge", "seats")
		require.NoError(t, r.err)
		assert.Equal(t, 200, r.status)
		assert.Equal(t, "POST /charge/table?k=7 "+p.addr+" acme /srv/gateway.php seats", r.body)
		assert.Equal(t, "text/x", r.header.Get("Content-Type"))
		assert.Equal(t, 200, p.send("find", "").status)
	}
	assert.Contains(t, []int{503, 504}, p.send("book", "seats").status)
}

// Bodies of 4 MB in both directions need many records. A truncated response is an error for the client.
func TestFastCGI_LargeBodies(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	p := startApplications(t, 1, func(c net.Conn, q *standin.ApplicationRequest) bool {
		c.SetWriteDeadline(time.Now().Add(20 * time.Second))
		if len(q.Body) != len(large) {
			return writePart(c, q.Answered("Status: 500", ""), 0)
		}
		answer := q.Answered("Content-Type: a/b", string(q.Body))
		if q.Params["HTTP_X_QOS"] == "book" {
			return writePart(c, answer, len(answer)/2)
		}
		return writePart(c, answer, 0)
	})
	for range 2 {
		r := p.send("charge", string(large))
		require.NoError(t, r.err)
		assert.Equal(t, 200, r.status)
		assert.True(t, r.body == string(large), "%d bytes", len(r.body))
		assert.Equal(t, "a/b", r.header.Get("Content-Type"))
	}
	q, err := http.NewRequest("POST", "http://"+p.addr+"/book/x", bytes.NewReader(large))
	require.NoError(t, err)
	setHeaders(q, map[string]string{
		"X-Trace-Id":      "broken",
		"X-Qos":           "book",
		"X-Expires-In-Ms": "3000",
		"Idempotency-Key": "k",
	})
	resp, err := client.Do(q)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = new(bytes.Buffer).ReadFrom(resp.Body)
	assert.Error(t, err, "a truncated response must not look complete")
}
