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
	c       *conn
	way     *Gateway
	app     fcgi.Application
	records fcgi.Reader
	buf     *[]byte
	looking bool // nothing is waited for
	brim    bool // the last read filled its buffer

	id    uint16 // of the request that is read or out; 0: none
	keep  bool
	here  bool        // it has come whole
	gone  atomic.Bool // its gateway has given it up
	told  int64       // of its body; -1: not
	took  int64
	pairs []pair // while a head is made
	spare []byte
	pend  []byte // not read yet
	at    int
}

var gatewayBuffers = sync.Pool{New: func() any { b := make([]byte, 4096); return &b }}

func newGateway(c *conn, way *Gateway) *gateway {
	d := &gateway{c: c, way: way, told: -1}
	d.app.Limits = fcgi.Limits{MaxRequests: 1, AdvertisedRequests: way.AdvertisedRequests, MaxParams: c.server.limits.Wire.MaxHead}
	return d
}

// source reads what the records are read from.
type source gateway

// Read waits for a byte only where a request has begun, and not for ever: who sends half a record would else hold a place for good.
func (s *source) Read(to []byte) (int, error) {
	d := (*gateway)(s)
	begun := d.app.Open() > 0 || d.records.InRecord()
	switch {
	case d.looking:
		d.c.try = true
	case begun:
		d.c.try = false
		d.c.Progress(true)
	case !d.c.try:
		return 0, errNothing
	}
	n, err := d.c.readRaw(to)
	d.brim = n == len(to)
	return n, err
}

// more tells whether the kernel may hold something that no event will tell of.
func (g *gateway) more() bool { return g.brim || g.gone.Load() }

func (g *gateway) awake() {
	if g.buf == nil {
		g.buf = gatewayBuffers.Get().(*[]byte)
		g.records.Init((*source)(g), *g.buf)
	}
}

// rest gives the buffers up between two requests; it is false if a part of the next one is in them.
func (g *gateway) rest() bool {
	if g.buf == nil {
		return true
	}
	padded := g.records.HasBuffered()
	if g.records.InRecord() {
		return false
	}
	if !padded { // else the reader has to know what is still to come of it
		gatewayBuffers.Put(g.buf)
		g.buf = nil
	}
	g.at = 0
	if g.pend = g.pend[:0]; cap(g.pend) > 4096 {
		g.pend = nil
	}
	if cap(g.pairs) > few {
		g.pairs = nil
	}
	return true
}

// Read gives the next request as HTTP/1.1, as much as has come.
func (g *gateway) Read(to []byte) (int, error) {
	g.awake()
	if g.at == len(g.pend) {
		g.pend, g.at = g.pend[:0], 0
		for len(g.pend) == 0 || !g.here && len(g.pend) < len(to) && g.records.Buffered() {
			if err := g.next(); err != nil {
				return 0, err
			}
		}
	}
	n := copy(to, g.pend[g.at:])
	g.at += n
	return n, nil
}

// next takes one piece.
func (g *gateway) next() error {
	p, err := g.records.Next()
	if err == nil {
		var e fcgi.Event
		if e, err = g.app.Take(p); err == nil {
			err = g.take(e)
		}
	}
	if errors.Is(err, fcgi.ErrFraming) {
		return fmt.Errorf("%w: %w", httpwire.ErrMalformed, err)
	}
	return err
}

func (g *gateway) take(e fcgi.Event) error {
	switch e.Kind {
	case fcgi.EventReply:
		g.c.SetWriteDeadline(time.Now().Add(g.c.server.limits.ClientWriteTimeout))
		_, err := g.c.Conn.Write(e.Data)
		return err
	case fcgi.EventParams:
		g.id, g.keep, g.here, g.took = e.ID, e.Keep, false, 0
		g.gone.Store(false)
		return g.head(e.Params)
	case fcgi.EventBody:
		if g.took += int64(len(e.Data)); g.told >= 0 && g.took > g.told {
			return fmt.Errorf("%w: a longer body than CONTENT_LENGTH tells", httpwire.ErrMalformed)
		}
		g.pend = append(strconv.AppendInt(g.pend, int64(len(e.Data)), 16), "\r\n"...)
		g.pend = append(append(g.pend, e.Data...), "\r\n"...)
	case fcgi.EventBodyEnd:
		if g.told >= 0 && g.took < g.told {
			return fmt.Errorf("%w: a shorter body than CONTENT_LENGTH tells", httpwire.ErrMalformed)
		}
		g.pend = append(g.pend, "0\r\n\r\n"...)
		g.here = true
	case fcgi.EventAborted:
		if g.id == 0 { // its params were still coming: nobody has heard of it
			g.id = e.ID
			g.c.SetWriteDeadline(time.Now().Add(g.c.server.limits.ClientWriteTimeout))
			_, err := g.c.Conn.Write(g.end(nil, 1, fcgi.StatusComplete))
			return err
		}
		if g.gone.Store(true); !g.here { // who reads it has nothing to wait for
			g.c.tell()
			return errClosed
		}
	case fcgi.EventRejected:
		g.id, g.keep = e.ID, false
		return fmt.Errorf("%w: %s", httpwire.ErrMalformed, e.Reason)
	}
	return nil
}

// lookMost is how much of a body that is still coming is taken in to see whether its gateway has given it up behind that: as much as
// the kernel holds of a connection that is not read from.
const lookMost = 128 << 10

// look takes in what has come while a request is out, without waiting, and tells whether its gateway still waits for it.
func (g *gateway) look() bool {
	g.looking = true
	defer func() { g.looking, g.c.try = false, false }()
	for !g.gone.Load() {
		if len(g.pend)-g.at > lookMost {
			return true
		}
		if err := g.next(); err != nil {
			return err == errNothing
		}
	}
	return false
}

// hop are params that would frame the message anew or are the connection's; what comes by FastCGI has its frame already.
var hop = map[string]bool{"HTTP_CONTENT_LENGTH": true, "HTTP_TRANSFER_ENCODING": true, "HTTP_CONNECTION": true, "HTTP_EXPECT": true, "HTTP_UPGRADE": true, "HTTP_TE": true,
	"HTTP_TRAILER": true, "HTTP_KEEP_ALIVE": true, "HTTP_PROXY": true, "HTTP_CONTENT_TYPE": true}

// field is a header that the protocol knows, and the param that CGI makes of it.
type field struct{ header, param string }

var fields = [...]field{{httpwire.HeaderTraceID, "HTTP_X_TRACE_ID"}, {httpwire.HeaderMethod, "HTTP_X_QOS"}, {httpwire.HeaderTenant, "HTTP_X_CUSTOMER"},
	{httpwire.HeaderIdempotencyKey, "HTTP_IDEMPOTENCY_KEY"}, {httpwire.HeaderTimeLeft, "HTTP_X_EXPIRES_IN_MS"}, {"Host", "HTTP_HOST"}, {"Content-Type", "CONTENT_TYPE"}}

// own is the param that a gateway uses in a field's place; empty: none.
func (g *Gateway) own(i int) string {
	return [len(fields)]string{g.Trace, g.Class, g.Tenant, g.Key, g.Left}[i]
}

// pair is a param. It lies in the request's params.
type pair struct{ name, value []byte }

// few are so many params that each is compared with each.
const few = 64

// collect takes the params apart. What could end a line, or says two things at once, is refused.
func (g *gateway) collect(params []byte) error {
	bad := func(what string, name []byte) error {
		return fmt.Errorf("%w: %s %.60q", httpwire.ErrMalformed, what, name)
	}
	g.pairs = g.pairs[:0]
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
			if was, twice = g.find(string(name)); len(g.pairs) == few {
				seen = make(map[string][]byte, 4*few)
				for _, p := range g.pairs {
					seen[string(p.name)] = p.value
				}
			}
		} else if !twice {
			seen[string(name)] = value
		}
		switch {
		case !twice:
			g.pairs = append(g.pairs, pair{name, value})
		case !bytes.Equal(was, value):
			return bad("two values of", name)
		}
	}
	return nil
}

func (g *gateway) find(name string) ([]byte, bool) {
	for _, p := range g.pairs {
		if string(p.name) == name {
			return p.value, true
		}
	}
	return nil, false
}

func (g *gateway) get(name string) []byte {
	value, _ := g.find(name)
	return value
}

// head makes a request's head of its params.
func (g *gateway) head(params []byte) error {
	defer func() { clear(g.pairs) }()
	if err := g.collect(params); err != nil {
		return err
	}
	verb, from := g.get("REQUEST_METHOD"), len(g.pend)
	g.pend = append(append(g.pend, verb...), ' ')
	at := len(g.pend)
	if uri := g.get("REQUEST_URI"); len(uri) > 0 {
		g.pend = append(g.pend, uri...)
	} else {
		g.pend = append(append(g.pend, g.get("SCRIPT_NAME")...), g.get("PATH_INFO")...)
		if query := g.get("QUERY_STRING"); len(query) > 0 {
			g.pend = append(append(g.pend, '?'), query...)
		}
	}
	target := g.pend[at:]
	if len(verb) == 0 || bytes.ContainsAny(verb, " \t") || bytes.ContainsAny(target, " \t") {
		return fmt.Errorf("%w: no request line: %.60q", httpwire.ErrMalformed, g.pend[from:])
	}
	class, _, _ := bytes.Cut(target, []byte("?"))
	class, _, _ = bytes.Cut(bytes.TrimPrefix(class, []byte("/")), []byte("/"))
	class = append(g.spare[:0], class...) // what it lies in grows
	g.spare = class
	g.told = -1
	if text := g.get("CONTENT_LENGTH"); len(text) > 0 {
		n, err := strconv.ParseUint(string(text), 10, 62)
		if err != nil {
			return fmt.Errorf("%w: CONTENT_LENGTH is %.60q", httpwire.ErrMalformed, text)
		}
		g.told = int64(n)
	}
	g.pend = append(g.pend, " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"...)
	for i, f := range fields {
		v := g.get(f.param)
		if own := g.way.own(i); own != "" {
			if given := g.get(own); len(given) > 0 {
				v = given
			}
		}
		if len(v) == 0 {
			v = g.instead(f.header, class)
		}
		if len(v) > 0 {
			g.pend = append(append(append(append(g.pend, f.header...), ": "...), v...), "\r\n"...)
		}
	}
	for _, p := range g.pairs { // for routes: servers are sent none of them
		if bytes.HasPrefix(p.name, []byte("HTTP_")) && len(p.value) > 0 && plain(p.name) && !hop[string(p.name)] && !usual(p.name) {
			g.pend = append(append(append(appendHeader(g.pend, p.name), ": "...), p.value...), "\r\n"...)
		}
	}
	g.pend = append(g.pend, "\r\n"...)
	return nil
}

// instead is what stands for a field that a gateway does not send.
func (g *gateway) instead(header string, class []byte) []byte {
	switch header {
	case httpwire.HeaderTraceID: // a gateway that has none can't ask for the same again, either
		return fmt.Appendf(nil, "%016x%016x", rand.Uint64(), rand.Uint64())
	case httpwire.HeaderMethod:
		return class
	case httpwire.HeaderTenant:
		return []byte(g.way.DefaultTenant)
	case httpwire.HeaderTimeLeft:
		if g.way.DefaultTimeLeft > 0 {
			return strconv.AppendInt(nil, g.way.DefaultTimeLeft.Milliseconds(), 10)
		}
	}
	return nil
}

// usual tells a param that is one of the fields'.
func usual(name []byte) bool {
	for _, f := range fields {
		if string(name) == f.param {
			return true
		}
	}
	return false
}

// plain tells a param's name that CGI makes of a header's: any other could end its line.
func plain(name []byte) bool {
	for _, c := range name {
		if c != '_' && (c < 'A' || c > 'Z') && (c < '0' || c > '9') {
			return false
		}
	}
	return len(name) > len("HTTP_")
}

// appendHeader writes the name that CGI made a param of, as far as that can be told.
func appendHeader(to, param []byte) []byte {
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

// stays tells, when something has come while a request is out, whether its gateway still waits for it.
func (g *gateway) stays(q *httpwire.Request) bool {
	if q.BodyStream != nil && !q.BodyStream.Complete() { // who passes its body on reads, and sees it first
		return !g.gone.Load() && !g.c.ended.Load()
	}
	return g.look()
}

// waits is stays for who is about to send the request on, and has claimed its body where that is coming. Fresh tells that what the
// kernel holds is known; what has been read of it may hold more than the request.
func (g *gateway) waits(fresh bool) bool {
	switch {
	case g.gone.Load():
		return false
	case g.records.Buffered() || !fresh && socket.StateOfRaw(g.c.raw) == socket.StateReadable:
		return g.look()
	}
	return true
}

// answer writes a whole answer to the request that is out, and its end.
func (g *gateway) answer(to []byte, a *httpwire.ClientResponse, headOnly bool) []byte {
	if g.id == 0 {
		return to // nobody has asked anything yet
	}
	status := fcgi.StatusComplete
	if a.Status == 503 && g.way.Overloaded {
		status = fcgi.StatusOverloaded
	} else {
		to = g.begin(to, a)
		if !headOnly {
			to = fcgi.AppendStream(to, fcgi.TypeStdout, g.id, a.Body)
		}
	}
	return g.end(to, 0, status)
}

// begin writes an answer's head.
func (g *gateway) begin(to []byte, a *httpwire.ClientResponse) []byte {
	var head [256]byte
	again := ""
	if a.RetryAfter > 0 {
		again = strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)
	}
	return fcgi.AppendStream(to, fcgi.TypeStdout, g.id, fcgi.AppendCGI(head[:0], a.Status, httpwire.StatusText(a.Status), a.ContentType, again))
}

func (g *gateway) frame(p []byte) net.Buffers { return fcgi.Records(fcgi.TypeStdout, g.id, p) }

// end ends the request; its id may be used again.
func (g *gateway) end(to []byte, app uint32, s fcgi.Status) []byte {
	if s == fcgi.StatusComplete {
		to = fcgi.AppendStreamEnd(to, fcgi.TypeStdout, g.id)
	}
	to = fcgi.AppendEnd(to, g.id, app, s)
	g.app.Done(g.id)
	g.id = 0
	return to
}
