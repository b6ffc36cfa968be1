package fcgi

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// bytesOf reads records as they stand in the specification's own notation: hex, with spaces and remarks behind a #.
func bytesOf(text string) []byte {
	var all strings.Builder
	for line := range strings.Lines(text) {
		line, _, _ = strings.Cut(line, "#")
		all.WriteString(strings.Join(strings.Fields(line), ""))
	}
	b, err := hex.DecodeString(all.String())
	if err != nil {
		panic(err)
	}
	return b
}

// got is all that became of a request.
type got struct {
	params, body string
	keep         bool
	end          EventKind
	why          string
}

// serve reads a gateway's stream to its end. Each request is ended once it is whole, so that its id can be used again.
func serve(src io.Reader, size int, l Limits) (all []got, told []byte, err error) {
	r, a, open := &Reader{}, &Application{Limits: l}, map[uint16]*got{}
	r.Init(src, make([]byte, size))
	for {
		p, err := r.Next()
		if err != nil {
			for _, g := range open {
				all = append(all, *g)
			}
			return all, told, err
		}
		e, err := a.Take(p)
		if err != nil {
			return all, told, err
		}
		switch e.Kind {
		case EventParams:
			open[e.ID] = &got{params: string(e.Params), keep: e.Keep}
		case EventBody:
			open[e.ID].body += string(e.Data)
		case EventReply:
			told = append(told, e.Data...)
		case EventBodyEnd, EventAborted, EventRejected:
			g := open[e.ID]
			if g == nil {
				g = &got{}
			}
			g.end, g.why = e.Kind, e.Reason
			all = append(all, *g)
			delete(open, e.ID)
			a.Done(e.ID)
		}
	}
}

var wide = Limits{MaxRequests: 10, MaxParams: 4096}

// As a gateway writes them, put down by hand from the specification: padding with bytes in it, a length of four bytes, an id that is
// used again at once, a question in the middle, and an answer to a question that nobody asked.
const written = `
01 01 0001 0008 00 00  0001 01 0000000000            # BEGIN 1, responder, keep
01 04 0001 000f 07 00  0b 04 5345525645525f504f5254 38 30   # PARAMS: SERVER_PORT=80.. cut in the value
   deadbeefdeadbe
01 09 0000 0011 03 00  0f 00 464347495f4d5058535f434f4e4e53  ffffff  # GET_VALUES FCGI_MPXS_CONNS
01 04 0001 0002 00 00  38 30                          # the value's rest
01 04 0001 0007 00 00  80000001 01 61 62              # a=b, the name's length in four bytes
01 04 0001 0000 01 00  00                             # PARAMS end, padded
01 0a 0000 0000 00 00                                 # GET_VALUES_RESULT, unasked
01 05 0001 0003 05 00  616263 0000000000              # STDIN abc
01 05 0001 0000 00 00
01 01 0001 0008 00 00  0001 00 0000000000             # the same id, not to be kept
01 04 0001 0000 00 00
01 02 0001 0000 00 00                                 # ABORT
01 3f 0000 0001 00 00  00                             # a management record that nobody knows
`

func TestAStreamReadsTheSameHoweverItIsCut(t *testing.T) {
	text := bytesOf(written)
	want := []got{{params: "\x0b\x04SERVER_PORT8080\x80\x00\x00\x01\x01ab", body: "abc", keep: true, end: EventBodyEnd}, {end: EventAborted}}
	told := append(bytesOf("01 0a 0000 0012 00 00  0f 01 464347495f4d5058535f434f4e4e53 31"), bytesOf("01 0b 0000 0008 00 00  3f 00000000000000")...)
	check := func(src io.Reader, size int, how string) {
		all, said, err := serve(src, size, wide)
		require.ErrorIs(t, err, io.EOF, how)
		require.Equal(t, want, all, how)
		require.Equal(t, told, said, how)
	}
	check(bytes.NewReader(text), 1<<16, "at once")
	check(iotest.OneByteReader(bytes.NewReader(text)), MinBuffer, "byte by byte")
	check(iotest.DataErrReader(bytes.NewReader(text)), MinBuffer, "with the end")
	for i := range text {
		check(io.MultiReader(bytes.NewReader(text[:i]), bytes.NewReader(text[i:])), MinBuffer, fmt.Sprint("cut at ", i))
		_, _, err := serve(bytes.NewReader(text[:i]), MinBuffer, wide)
		require.Error(t, err)
		if err != io.EOF { // else between two records
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, "ends at %d", i)
		}
	}
}

// Interleaved requests come out as they went in, whatever their records look like.
func TestInterleavedRequestsComeOutAsTheyWentIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type left struct {
			got
			id     uint16
			params []byte
			stdin  []byte
			stage  int
		}
		var text []byte
		var want []got
		open := map[uint16]*left{}
		record := func(k RecordType, id uint16, content []byte) {
			pad := rapid.IntRange(0, mostPad).Draw(t, "padding")
			h := Head(k, id, len(content))
			h[6], h[7] = byte(pad), rapid.Byte().Draw(t, "reserved")
			text = append(append(append(text, h[:]...), content...), make([]byte, pad)...)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := uint16(rapid.IntRange(1, 5).Draw(t, "id"))
			q := open[id]
			if q == nil {
				q = &left{id: id, got: got{keep: rapid.Bool().Draw(t, "keep"), end: EventBodyEnd}}
				for range rapid.IntRange(0, 4).Draw(t, "pairs") {
					q.params = AppendPair(q.params, rapid.StringN(0, 9, 200).Draw(t, "name"), rapid.StringN(0, 200, 400).Draw(t, "value"))
				}
				q.stdin = rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
				q.got.params, q.got.body = string(q.params), string(q.stdin)
				open[id] = q
				record(TypeBegin, id, AppendBegin(nil, id, q.keep)[headSize:])
				continue
			}
			part := func(k RecordType, of *[]byte) {
				n := rapid.IntRange(0, len(*of)).Draw(t, "bytes")
				if len(*of) == 0 {
					q.stage++
				} else if n = max(n, 1); true {
					defer func() { *of = (*of)[n:] }()
				}
				record(k, id, (*of)[:n])
			}
			if q.stage == 0 {
				part(TypeParams, &q.params)
			} else if part(TypeStdin, &q.stdin); q.stage == 2 {
				want = append(want, q.got)
				delete(open, id)
			}
		}
		for id := range open {
			record(TypeAbort, id, nil)
		}
		var src io.Reader = bytes.NewReader(text)
		if rapid.Bool().Draw(t, "halves") {
			src = iotest.HalfReader(src)
		}
		all, _, err := serve(src, rapid.IntRange(MinBuffer, 1<<16).Draw(t, "buffer"), Limits{MaxRequests: 5, MaxParams: 1 << 16})
		require.ErrorIs(t, err, io.EOF)
		var whole []got
		for _, g := range all {
			if g.end == EventBodyEnd {
				whole = append(whole, g)
			}
		}
		require.Equal(t, want, whole)
	})
}

// Each malformed record has its end: of its request, or of the connection where nothing after it can be told apart.
func TestWhatIsMalformedHasAStatedEnd(t *testing.T) {
	begin := "01 01 0001 0008 00 00 0001 00 0000000000 "
	headed := begin + "01 04 0001 0000 00 00 "
	for name, c := range map[string]struct {
		text string
		why  string // of the request's end; empty: the connection's
	}{
		"another version":               {"02 01 0001 0008 00 00 0001 00 0000000000", ""},
		"a BEGIN of seven bytes":        {"01 01 0001 0007 00 00 0001 00 00000000", ""},
		"a BEGIN of nine":               {"01 01 0001 0009 00 00 0001 00 000000000000", ""},
		"a BEGIN of no request":         {"01 01 0000 0008 00 00 0001 00 0000000000", ""},
		"an id that is open":            {begin + begin, ""},
		"a body of no request":          {"01 05 0000 0001 00 00 61", ""},
		"a question that is too long":   {"01 09 0000 ffff 00 00", ""},
		"a question that is torn":       {"01 09 0000 0002 00 00 0500", ""},
		"an unknown type, far too long": {begin + "01 40 0001 ffff 00 00", ""},
		"an unknown type of a request":  {begin + "01 40 0001 0001 00 00 61", "a record of type 64"},
		"an answer from a gateway":      {begin + "01 06 0001 0001 00 00 61", "a record of type 6"},
		"an END from a gateway":         {begin + "01 03 0001 0008 00 00 0000000000000000", "a record of type 3"},
		"a body before the params' end": {begin + "01 05 0001 0001 00 00 61", "a body ahead of the params' end"},
		"params after their end":        {headed + "01 04 0001 0001 00 00 61", "params after their end"},
		"a body after its end":          {headed + "01 05 0001 0000 00 00 01 05 0001 0001 00 00 61", "ended by then"},
		"a value of 2 GB":               {begin + "01 04 0001 0006 00 00 01 ffffffff 61 01 04 0001 0000 00 00", "params that end in the middle of one"},
		"a name cut in its length":      {begin + "01 04 0001 0002 00 00 8000 01 04 0001 0000 00 00", "params that end in the middle of one"},
		"more params than are taken":    {begin + "01 04 0001 1001 00 00" + strings.Repeat("00", 4097), "more params than are taken"},
	} {
		all, _, err := serve(bytes.NewReader(bytesOf(c.text)), MinBuffer, wide)
		switch {
		case c.why == "":
			assert.ErrorIs(t, err, ErrFraming, name)
		case c.why == "ended by then": // whole, ended, and what comes after that is nobody's
			assert.Equal(t, []got{{end: EventBodyEnd}}, all, name)
		default:
			assert.ErrorIs(t, err, io.EOF, name)
			if assert.Len(t, all, 1, name) {
				assert.Equal(t, EventRejected, all[0].end, name)
				assert.Equal(t, c.why, all[0].why, name)
			}
		}
	}
	// Refused before they are anybody's.
	for name, c := range map[string]struct {
		text string
		most int
		want Status
	}{
		"another role":                {"01 01 0001 0008 00 00 0002 00 0000000000 01 04 0001 0000 00 00", 2, StatusUnknownRole},
		"a second where one is taken": {begin + "01 01 0002 0008 00 00 0001 00 0000000000 01 05 0002 0001 00 00 61", 1, StatusCantMultiplex},
		"more than are taken":         {begin + "01 01 0002 0008 00 00 0001 00 0000000000 01 01 0003 0008 00 00 0001 00 0000000000", 2, StatusOverloaded},
	} {
		_, told, err := serve(bytes.NewReader(bytesOf(c.text)), MinBuffer, Limits{MaxRequests: c.most, MaxParams: 99})
		assert.ErrorIs(t, err, io.EOF, name)
		require.Len(t, told, headSize+fixed, name)
		assert.Equal(t, byte(c.want), told[headSize+4], name)
	}
}

// What an application may write, and what ends its connection.
func TestAGatewayBelievesOnlyWhatCanBeItsOwn(t *testing.T) {
	out, end := "01 06 0001 0001 00 00 61 ", "01 03 0001 0008 00 00 00000007 00 000000 "
	for name, c := range map[string]struct {
		text string
		want string // of request 1; empty: the connection can't be followed
	}{
		"an answer":                           {out + "01 06 0001 0000 00 00" + end, "a over 7 0"},
		"an END that ends the answer as well": {out + end, "a over 7 0"},
		"an END alone":                        {end, " over 7 0"},
		"overloaded":                          {"01 03 0001 0008 00 00 00000000 02 000000", " over 0 2"},
		"messages beside it":                  {"01 07 0001 0003 00 00 657272" + out + "01 07 0001 0000 00 00" + end, "[3]a over 7 0"},
		"an answer after its end":             {"01 06 0001 0000 00 00" + out, ""},
		"an answer after the END":             {end + out, ""},
		"another's id":                        {"01 06 0002 0001 00 00 61", ""},
		"an unknown status":                   {"01 03 0001 0008 00 00 00000000 04 000000", ""},
		"a request from an application":       {"01 05 0001 0001 00 00 61", ""},
		"an answer to no request":             {"01 06 0000 0001 00 00 61", ""},
	} {
		r, g, heard := &Reader{}, &Gateway{}, ""
		r.Init(iotest.OneByteReader(bytes.NewReader(bytesOf(c.text))), make([]byte, MinBuffer))
		id, ok := g.Begin()
		require.True(t, ok)
		require.Equal(t, uint16(1), id)
		var failed error
		for failed == nil {
			p, err := r.Next()
			if failed = err; err != nil {
				break
			}
			var e Event
			switch e, failed = g.Take(p); e.Kind {
			case EventStdout:
				heard += string(e.Data)
			case EventStderr:
				heard = strings.Replace(heard+fmt.Sprintf("[%d]", len(e.Data)), "[1][1][1]", "[3]", 1)
			case EventEnd:
				heard += fmt.Sprintf(" over %d %d", e.AppStatus, e.Status)
			}
		}
		if c.want == "" {
			assert.ErrorIs(t, failed, ErrFraming, name)
			continue
		}
		assert.ErrorIs(t, failed, io.EOF, name)
		assert.Equal(t, c.want, heard, name)
		assert.Zero(t, g.Open())
	}
}

func TestACGIHeadIsReadOrRefused(t *testing.T) {
	for text, want := range map[string]CGI{
		"Content-Type: text/plain\n\nx":                                                     {Status: 200, Type: "text/plain", Length: -1},
		"status: 404 Not Found\r\nContent-type:a/b\r\n\r\nx":                                {Status: 404, Type: "a/b", Length: -1},
		"Location: http://a/\n\nx":                                                          {Status: 302, Location: "http://a/", Length: -1},
		"Status: 200\nX-Never-Ran: 1\nSet-Cookie: a\nset-cookie: b\nContent-Length: 1\n\nx": {Status: 200, Length: 1, Fields: map[string][]string{"x-never-ran": {"1"}, "set-cookie": {"a", "b"}}},
		"\nx": {Status: 200, Length: -1},
	} {
		for cut := range len(text) - 1 {
			_, _, whole, err := ReadCGI([]byte(text[:cut]), 1000)
			assert.NoError(t, err)
			assert.False(t, whole, "%q", text[:cut])
		}
		h, body, whole, err := ReadCGI([]byte(text), 1000)
		assert.NoError(t, err)
		assert.True(t, whole)
		assert.Equal(t, "x", string(body))
		assert.Equal(t, want, h)
	}
	for _, text := range []string{"Status: 200\nstatus: 500\n\n", "Status: 99\n\n", "Status: 1000\n\n", "Status: 100\n\n", "Status: +20\n\n", "Content-Length: 1\nContent-Length: 1\n\n",
		"Content-Length: -1\n\n", "Content-Length: +1\n\n", "Content-Length:\n\n", "Content-Type: a\nContent-Type: a\n\n", "Location: a\nLocation: b\n\n", "no colon\n\n", ": x\n\n",
		"A B: x\n\n", " A: x\n\n", "A: b\rc\n\n", "A: b\x00c\n\n", "HTTP/1.1 200 OK\n\n", strings.Repeat("x", 1001), "A: " + strings.Repeat("x", 1000) + "\n\n"} {
		_, _, _, err := ReadCGI([]byte(text), 1000)
		assert.ErrorIs(t, err, ErrHead, "%.40q", text)
	}
}

func FuzzApplication(f *testing.F) {
	f.Add(bytesOf(written))
	f.Fuzz(func(t *testing.T, text []byte) {
		l := Limits{MaxRequests: 3, MaxParams: 64}
		r, a := &Reader{}, &Application{Limits: l}
		r.Init(bytes.NewReader(text), make([]byte, MinBuffer))
		for {
			p, err := r.Next()
			if err != nil {
				return
			}
			if e, err := a.Take(p); err != nil {
				return
			} else if e.Kind == EventParams && check(e.Params) != nil {
				t.Fatal("params that are none")
			}
			if a.Open() > l.MaxRequests {
				t.Fatal("more are open than may be")
			}
			for _, q := range a.open {
				if len(q.params) > l.MaxParams {
					t.Fatal("a request holds more than it may")
				}
			}
		}
	})
}

func FuzzGateway(f *testing.F) {
	f.Add(bytesOf("01 06 0001 0001 00 00 61 01 03 0001 0008 00 00 00000007 00 000000"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, g, over := &Reader{}, &Gateway{}, map[uint16]bool{}
		r.Init(bytes.NewReader(text), make([]byte, MinBuffer))
		for range 3 {
			g.Begin()
		}
		for {
			p, err := r.Next()
			if err != nil {
				return
			}
			e, err := g.Take(p)
			if err != nil {
				return
			}
			if e.ID > 3 || over[e.ID] {
				t.Fatalf("%+v is nobody's", e)
			}
			over[e.ID] = e.Kind == EventEnd
		}
	})
}

func FuzzCGI(f *testing.F) {
	f.Add([]byte("Status: 200 OK\r\nContent-Type: a/b\r\nX: y\r\n\r\nbody"))
	f.Fuzz(func(t *testing.T, text []byte) {
		h, body, whole, err := ReadCGI(text, 256)
		if err == nil && whole && (h.Status < 200 || h.Status > 599 || !bytes.HasSuffix(text, body)) {
			t.Fatalf("%+v", h)
		}
	})
}
