package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
)

// Gateway says how gateways that speak FastCGI are listened to. What a gateway can't send has a param of its own choice, or is
// given here.
type Gateway struct {
	Trace, Class, Tenant, Key, Left string // params; empty: as CGI makes them of the protocol's headers
	DefaultTenant                   string // who sends none is this one
	DefaultTimeLeft                 time.Duration
	Overloaded                      bool // a pushback is END_REQUEST with OVERLOADED, for gateways that ask another node then
	AdvertisedRequests              int  // requests that are told to who asks
}

// gateway is what a connection has beside it where a gateway speaks FastCGI on it. What comes is read through it as HTTP/1.1 would have
// it, so that a request's life, its times, sizes and places are those of any other. One request is on a connection at a time: a second is
// told so.
type gateway struct {
	conn       *conn
	config     *Gateway
	application     fcgi.Application
	records fcgi.Reader
	buffer     *[]byte
	peeking bool // nothing is waited for
	filledBuffer    bool // the last read filled its buffer

	requestID    uint16 // of the request that is read or out; 0: none
	keepAlive  bool
	complete  bool        // it has come whole
	aborted  atomic.Bool // its gateway has given it up
	contentLength  int64       // of its body; -1: not
	bodyBytes  int64
	params []param // while a head is made
	scratch []byte
	pending  []byte // not read yet
	offset    int
}

var gatewayBuffers = sync.Pool{New: func() any { b := make([]byte, 4096); return &b }}

func newGateway(c *conn, way *Gateway) *gateway {
	d := &gateway{conn: c, config: way, contentLength: -1}
	d.application.Limits = fcgi.Limits{MaxRequests: 1, AdvertisedRequests: way.AdvertisedRequests, MaxParams: c.server.limits.Wire.MaxHead}
	return d
}

// recordSource reads what the records are read from.
type recordSource gateway

// Read waits for a byte only where a request has begun, and not for ever: who sends half a record would else hold a place for good.
func (s *recordSource) Read(to []byte) (int, error) {
	d := (*gateway)(s)
	begun := d.application.Open() > 0 || d.records.InRecord()
	switch {
	case d.peeking:
		d.conn.nonblocking = true
	case begun:
		d.conn.nonblocking = false
		d.conn.Progress(true)
	case !d.conn.nonblocking:
		return 0, errNoInput
	}
	n, err := d.conn.readRaw(to)
	d.filledBuffer = n == len(to)
	return n, err
}

// mayHaveMore tells whether the kernel may hold something that no event will tell of.
func (g *gateway) mayHaveMore() bool { return g.filledBuffer || g.aborted.Load() }

func (g *gateway) acquireBuffer() {
	if g.buffer == nil {
		g.buffer = gatewayBuffers.Get().(*[]byte)
		g.records.Init((*recordSource)(g), *g.buffer)
	}
}

// releaseBuffers gives the buffers up between two requests; it is false if a part of the next one is in them.
func (g *gateway) releaseBuffers() bool {
	if g.buffer == nil {
		return true
	}
	padded := g.records.HasBuffered()
	if g.records.InRecord() {
		return false
	}
	if !padded { // else the reader has to know what is still to come of it
		gatewayBuffers.Put(g.buffer)
		g.buffer = nil
	}
	g.offset = 0
	if g.pending = g.pending[:0]; cap(g.pending) > 4096 {
		g.pending = nil
	}
	if cap(g.params) > maxLinearParams {
		g.params = nil
	}
	return true
}

// Read gives the next request as HTTP/1.1, as much as has come.
func (g *gateway) Read(to []byte) (int, error) {
	g.acquireBuffer()
	if g.offset == len(g.pending) {
		g.pending, g.offset = g.pending[:0], 0
		for len(g.pending) == 0 || !g.complete && len(g.pending) < len(to) && g.records.Buffered() {
			if err := g.takeRecord(); err != nil {
				return 0, err
			}
		}
	}
	n := copy(to, g.pending[g.offset:])
	g.offset += n
	return n, nil
}

// takeRecord takes one piece.
func (g *gateway) takeRecord() error {
	p, err := g.records.Next()
	if err == nil {
		var e fcgi.Event
		if e, err = g.application.Take(p); err == nil {
			err = g.handleEvent(e)
		}
	}
	if errors.Is(err, fcgi.ErrFraming) {
		return fmt.Errorf("%w: %w", httpwire.ErrMalformed, err)
	}
	return err
}

func (g *gateway) handleEvent(e fcgi.Event) error {
	switch e.Kind {
	case fcgi.EventReply:
		g.conn.SetWriteDeadline(time.Now().Add(g.conn.server.limits.ClientWriteTimeout))
		_, err := g.conn.Conn.Write(e.Data)
		return err
	case fcgi.EventParams:
		g.requestID, g.keepAlive, g.complete, g.bodyBytes = e.ID, e.Keep, false, 0
		g.aborted.Store(false)
		return g.appendRequestHead(e.Params)
	case fcgi.EventBody:
		if g.bodyBytes += int64(len(e.Data)); g.contentLength >= 0 && g.bodyBytes > g.contentLength {
			return fmt.Errorf("%w: a longer body than CONTENT_LENGTH tells", httpwire.ErrMalformed)
		}
		g.pending = append(strconv.AppendInt(g.pending, int64(len(e.Data)), 16), "\r\n"...)
		g.pending = append(append(g.pending, e.Data...), "\r\n"...)
	case fcgi.EventBodyEnd:
		if g.contentLength >= 0 && g.bodyBytes < g.contentLength {
			return fmt.Errorf("%w: a shorter body than CONTENT_LENGTH tells", httpwire.ErrMalformed)
		}
		g.pending = append(g.pending, "0\r\n\r\n"...)
		g.complete = true
	case fcgi.EventAborted:
		if g.requestID == 0 { // its params were still coming: nobody has heard of it
			g.requestID = e.ID
			g.conn.SetWriteDeadline(time.Now().Add(g.conn.server.limits.ClientWriteTimeout))
			_, err := g.conn.Conn.Write(g.appendResponseEnd(nil, 1, fcgi.StatusComplete))
			return err
		}
		if g.aborted.Store(true); !g.complete { // who reads it has nothing to wait for
			g.conn.notifyClientGone()
			return errClientClosed
		}
	case fcgi.EventRejected:
		g.requestID, g.keepAlive = e.ID, false
		return fmt.Errorf("%w: %s", httpwire.ErrMalformed, e.Reason)
	}
	return nil
}

// maxPeekBytes is how much of a body that is still coming is taken in to see whether its gateway has given it up behind that: as much as
// the kernel holds of a connection that is not read from.
const maxPeekBytes = 128 << 10

// peek takes in what has come while a request is out, without waiting, and tells whether its gateway still waits for it.
func (g *gateway) peek() bool {
	g.peeking = true
	defer func() { g.peeking, g.conn.nonblocking = false, false }()
	for !g.aborted.Load() {
		if len(g.pending)-g.offset > maxPeekBytes {
			return true
		}
		if err := g.takeRecord(); err != nil {
			return err == errNoInput
		}
	}
	return false
}

// hopParams are params that would frame the message anew or are the connection's; what comes by FastCGI has its frame already.
var hopParams = map[string]bool{"HTTP_CONTENT_LENGTH": true, "HTTP_TRANSFER_ENCODING": true, "HTTP_CONNECTION": true, "HTTP_EXPECT": true, "HTTP_UPGRADE": true, "HTTP_TE": true,
	"HTTP_TRAILER": true, "HTTP_KEEP_ALIVE": true, "HTTP_PROXY": true, "HTTP_CONTENT_TYPE": true}

// knownField is a header that the protocol knows, and the param that CGI makes of it.
type knownField struct{ header, param string }

var knownFields = [...]knownField{{httpwire.HeaderTraceID, "HTTP_X_TRACE_ID"}, {httpwire.HeaderMethod, "HTTP_X_QOS"}, {httpwire.HeaderTenant, "HTTP_X_CUSTOMER"},
	{httpwire.HeaderIdempotencyKey, "HTTP_IDEMPOTENCY_KEY"}, {httpwire.HeaderTimeLeft, "HTTP_X_EXPIRES_IN_MS"}, {"Host", "HTTP_HOST"}, {"Content-Type", "CONTENT_TYPE"}}

// customParam is the param that a gateway uses in a field's place; empty: none.
func (g *Gateway) customParam(i int) string {
	return [len(knownFields)]string{g.Trace, g.Class, g.Tenant, g.Key, g.Left}[i]
}

// param is a param. It lies in the request's params.
type param struct{ name, value []byte }

// maxLinearParams are so many params that each is compared with each.
const maxLinearParams = 64

// parseParams takes the params apart. What could end a line, or says two things at once, is refused.
func (g *gateway) parseParams(params []byte) error {
	bad := func(what string, name []byte) error {
		return fmt.Errorf("%w: %s %.60q", httpwire.ErrMalformed, what, name)
	}
	g.params = g.params[:0]
	var seen map[string][]byte
	for len(params) > 0 {
		name, value, rest, err := fcgi.Pair(params)
		if err != nil {
			return err
		}
		params = rest
		for _, c := range value {
			if c < ' ' && c != '\t' || c == 0x7f {
				return bad("a control byte in", name)
			}
		}
		value = bytes.Trim(value, " \t")
		was, twice := seen[string(name)]
		if seen == nil {
			if was, twice = g.findParam(string(name)); len(g.params) == maxLinearParams {
				seen = make(map[string][]byte, 4*maxLinearParams)
				for _, p := range g.params {
					seen[string(p.name)] = p.value
				}
			}
		} else if !twice {
			seen[string(name)] = value
		}
		switch {
		case !twice:
			g.params = append(g.params, param{name, value})
		case !bytes.Equal(was, value):
			return bad("two values of", name)
		}
	}
	return nil
}

func (g *gateway) findParam(name string) ([]byte, bool) {
	for _, p := range g.params {
		if string(p.name) == name {
			return p.value, true
		}
	}
	return nil, false
}

func (g *gateway) paramValue(name string) []byte {
	value, _ := g.findParam(name)
	return value
}

// appendRequestHead makes a request's head of its params.
func (g *gateway) appendRequestHead(params []byte) error {
	defer func() { clear(g.params) }()
	if err := g.parseParams(params); err != nil {
		return err
	}
	verb, from := g.paramValue("REQUEST_METHOD"), len(g.pending)
	g.pending = append(append(g.pending, verb...), ' ')
	at := len(g.pending)
	if uri := g.paramValue("REQUEST_URI"); len(uri) > 0 {
		g.pending = append(g.pending, uri...)
	} else {
		g.pending = append(append(g.pending, g.paramValue("SCRIPT_NAME")...), g.paramValue("PATH_INFO")...)
		if query := g.paramValue("QUERY_STRING"); len(query) > 0 {
			g.pending = append(append(g.pending, '?'), query...)
		}
	}
	target := g.pending[at:]
	if len(verb) == 0 || bytes.ContainsAny(verb, " \t") || bytes.ContainsAny(target, " \t") {
		return fmt.Errorf("%w: no request line: %.60q", httpwire.ErrMalformed, g.pending[from:])
	}
	class, _, _ := bytes.Cut(target, []byte("?"))
	class, _, _ = bytes.Cut(bytes.TrimPrefix(class, []byte("/")), []byte("/"))
	class = append(g.scratch[:0], class...) // what it lies in grows
	g.scratch = class
	g.contentLength = -1
	if text := g.paramValue("CONTENT_LENGTH"); len(text) > 0 {
		n, err := strconv.ParseUint(string(text), 10, 62)
		if err != nil {
			return fmt.Errorf("%w: CONTENT_LENGTH is %.60q", httpwire.ErrMalformed, text)
		}
		g.contentLength = int64(n)
	}
	g.pending = append(g.pending, " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"...)
	for i, f := range knownFields {
		v := g.paramValue(f.param)
		if own := g.config.customParam(i); own != "" {
			if given := g.paramValue(own); len(given) > 0 {
				v = given
			}
		}
		if len(v) == 0 {
			v = g.defaultValue(f.header, class)
		}
		if len(v) > 0 {
			g.pending = append(append(append(append(g.pending, f.header...), ": "...), v...), "\r\n"...)
		}
	}
	for _, p := range g.params { // for routes: servers are sent none of them
		if bytes.HasPrefix(p.name, []byte("HTTP_")) && len(p.value) > 0 && isPlainHeaderParam(p.name) && !hopParams[string(p.name)] && !isKnownParam(p.name) {
			g.pending = append(append(append(appendHeaderName(g.pending, p.name), ": "...), p.value...), "\r\n"...)
		}
	}
	g.pending = append(g.pending, "\r\n"...)
	return nil
}

// defaultValue is what stands for a field that a gateway does not send.
func (g *gateway) defaultValue(header string, class []byte) []byte {
	switch header {
	case httpwire.HeaderTraceID: // a gateway that has none can't ask for the same again, either
		return fmt.Appendf(nil, "%016x%016x", rand.Uint64(), rand.Uint64())
	case httpwire.HeaderMethod:
		return class
	case httpwire.HeaderTenant:
		return []byte(g.config.DefaultTenant)
	case httpwire.HeaderTimeLeft:
		if g.config.DefaultTimeLeft > 0 {
			return strconv.AppendInt(nil, g.config.DefaultTimeLeft.Milliseconds(), 10)
		}
	}
	return nil
}

// isKnownParam tells a param that is one of the fields'.
func isKnownParam(name []byte) bool {
	for _, f := range knownFields {
		if string(name) == f.param {
			return true
		}
	}
	return false
}

// isPlainHeaderParam tells a param's name that CGI makes of a header's: any other could end its line.
func isPlainHeaderParam(name []byte) bool {
	for _, c := range name {
		if c != '_' && (c < 'A' || c > 'Z') && (c < '0' || c > '9') {
			return false
		}
	}
	return len(name) > len("HTTP_")
}

// appendHeaderName writes the name that CGI made a param of, as far as that can be told.
func appendHeaderName(to, param []byte) []byte {
	first := true
	for _, c := range param[len("HTTP_"):] {
		switch {
		case c == '_':
			c = '-'
		case !first && c >= 'A' && c <= 'Z':
			c += 'a' - 'A'
		}
		to = append(to, c)
		first = c == '-'
	}
	return to
}

// stillWaitingOnInput tells, when something has come while a request is out, whether its gateway still waits for it.
func (g *gateway) stillWaitingOnInput(q *httpwire.Request) bool {
	if q.BodyStream != nil && !q.BodyStream.Complete() { // who passes its body on reads, and sees it first
		return !g.aborted.Load() && !g.conn.clientClosed.Load()
	}
	return g.peek()
}

// stillWaiting is stays for who is about to send the request on, and has claimed its body where that is coming. Fresh tells that what the
// kernel holds is known; what has been read of it may hold more than the request.
func (g *gateway) stillWaiting(fresh bool) bool {
	switch {
	case g.aborted.Load():
		return false
	case g.records.Buffered() || !fresh && socket.StateOfRaw(g.conn.raw) == socket.StateReadable:
		return g.peek()
	}
	return true
}

// appendResponse writes a whole answer to the request that is out, and its end.
func (g *gateway) appendResponse(to []byte, a *httpwire.ClientResponse, headOnly bool) []byte {
	if g.requestID == 0 {
		return to // nobody has asked anything yet
	}
	status := fcgi.StatusComplete
	if a.Status == 503 && g.config.Overloaded {
		status = fcgi.StatusOverloaded
	} else {
		to = g.appendResponseHead(to, a)
		if !headOnly {
			to = fcgi.AppendStream(to, fcgi.TypeStdout, g.requestID, a.Body)
		}
	}
	return g.appendResponseEnd(to, 0, status)
}

// appendResponseHead writes an answer's head.
func (g *gateway) appendResponseHead(to []byte, a *httpwire.ClientResponse) []byte {
	var head [256]byte
	again := ""
	if a.RetryAfter > 0 {
		again = strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)
	}
	return fcgi.AppendStream(to, fcgi.TypeStdout, g.requestID, fcgi.AppendCGI(head[:0], a.Status, httpwire.StatusText(a.Status), a.ContentType, again))
}

func (g *gateway) frameBody(p []byte) net.Buffers { return fcgi.Records(fcgi.TypeStdout, g.requestID, p) }

// appendResponseEnd ends the request; its id may be used again.
func (g *gateway) appendResponseEnd(to []byte, app uint32, s fcgi.Status) []byte {
	if s == fcgi.StatusComplete {
		to = fcgi.AppendStreamEnd(to, fcgi.TypeStdout, g.requestID)
	}
	to = fcgi.AppendEnd(to, g.requestID, app, s)
	g.application.Done(g.requestID)
	g.requestID = 0
	return to
}
