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

// parseHex returns the bytes of records that are written in hex, with spaces, and with remarks behind a #.
func parseHex(text string) []byte {
	var digits strings.Builder
	for line := range strings.Lines(text) {
		line, _, _ = strings.Cut(line, "#")
		digits.WriteString(strings.Join(strings.Fields(line), ""))
	}
	data, err := hex.DecodeString(digits.String())
	if err != nil {
		panic(err)
	}
	return data
}

// receivedRequest is all that an Application's events have told of a request.
type receivedRequest struct {
	params string
	body   string
	keep   bool
	end    EventKind
	reason string
}

// testApplication reads a gateway's stream. Each request is ended once it is complete, so that its ID can be used again.
type testApplication struct {
	requests []receivedRequest // those that have ended
	replies  []byte
	open     map[uint16]*receivedRequest
	app      Application
}

// readAll reads a stream to its end, or to the error that ends it.
func readAll(source io.Reader, bufferSize int, limits Limits) (*testApplication, error) {
	a := &testApplication{open: map[uint16]*receivedRequest{}, app: Application{Limits: limits}}
	reader := &Reader{}
	reader.Init(source, make([]byte, bufferSize))
	for {
		piece, err := reader.Next()
		if err != nil {
			for _, request := range a.open {
				a.requests = append(a.requests, *request)
			}
			return a, err
		}
		event, err := a.app.Take(piece)
		if err != nil {
			return a, err
		}
		a.handle(event)
	}
}

func (a *testApplication) handle(event Event) {
	switch event.Kind {
	case EventParams:
		a.open[event.ID] = &receivedRequest{params: string(event.Params), keep: event.KeepConn}
	case EventBody:
		a.open[event.ID].body += string(event.Data)
	case EventReply:
		a.replies = append(a.replies, event.Data...)
	case EventBodyEnd, EventAborted, EventRejected:
		request := a.open[event.ID]
		if request == nil {
			request = &receivedRequest{}
		}
		request.end, request.reason = event.Kind, event.Reason
		a.requests = append(a.requests, *request)
		delete(a.open, event.ID)
		a.app.Done(event.ID)
	}
}

var testLimits = Limits{MaxRequests: 10, MaxParams: 4096}

// gatewayStream is what a gateway writes, by hand from the specification: padding with bytes in it, a length of four
// bytes, an ID that is used again at once, a management record within a request, and values that nobody asked for.
const gatewayStream = `
01 01 0001 0008 00 00  0001 01 0000000000            # BEGIN 1, responder, keep
01 04 0001 000f 07 00  0b 04 5345525645525f504f5254 38 30   # PARAMS: SERVER_PORT=80.. cut in the value
   deadbeefdeadbe
01 09 0000 0011 03 00  0f 00 464347495f4d5058535f434f4e4e53  ffffff  # GET_VALUES FCGI_MPXS_CONNS
01 04 0001 0002 00 00  38 30                          # the value's rest
01 04 0001 0007 00 00  80000001 01 61 62              # a=b, the name's length in four bytes
01 04 0001 0000 01 00  00                             # PARAMS end, padded
01 0a 0000 0000 00 00                                 # GET_VALUES_RESULT that nobody asked for
01 05 0001 0003 05 00  616263 0000000000              # STDIN abc
01 05 0001 0000 00 00
01 01 0001 0008 00 00  0001 00 0000000000             # the same ID, not to be kept
01 04 0001 0000 00 00
01 02 0001 0000 00 00                                 # ABORT
01 3f 0000 0001 00 00  00                             # a management record of an unknown type
`

// However a stream is cut, it is read the same.
func TestApplication_StreamInPieces(t *testing.T) {
	text := parseHex(gatewayStream)
	wantRequests := []receivedRequest{
		{params: "\x0b\x04SERVER_PORT8080\x80\x00\x00\x01\x01ab", body: "abc", keep: true, end: EventBodyEnd},
		{end: EventAborted},
	}
	wantReplies := parseHex(`
		01 0a 0000 0012 00 00  0f 01 464347495f4d5058535f434f4e4e53 31
		01 0b 0000 0008 00 00  3f 00000000000000
	`)
	check := func(t *testing.T, source io.Reader, bufferSize int) {
		t.Helper()
		read, err := readAll(source, bufferSize, testLimits)
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, wantRequests, read.requests)
		require.Equal(t, wantReplies, read.replies)
	}
	t.Run("at once", func(t *testing.T) {
		check(t, bytes.NewReader(text), 1<<16)
	})
	t.Run("byte by byte", func(t *testing.T) {
		check(t, iotest.OneByteReader(bytes.NewReader(text)), MinBuffer)
	})
	t.Run("with the end", func(t *testing.T) {
		check(t, iotest.DataErrReader(bytes.NewReader(text)), MinBuffer)
	})
	for cut := range text {
		t.Run(fmt.Sprint("cut at ", cut), func(t *testing.T) {
			check(t, io.MultiReader(bytes.NewReader(text[:cut]), bytes.NewReader(text[cut:])), MinBuffer)
		})
		t.Run(fmt.Sprint("ends at ", cut), func(t *testing.T) {
			_, err := readAll(bytes.NewReader(text[:cut]), MinBuffer, testLimits)
			require.Error(t, err)
			if err != io.EOF { // else between two records
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			}
		})
	}
}

// drawnRequest is a request whose records are drawn one after the other.
type drawnRequest struct {
	receivedRequest
	params        []byte // still to be written
	body          []byte // still to be written
	paramsWritten bool
	bodyWritten   bool
}

// drawnStream is a gateway's stream of interleaved requests.
type drawnStream struct {
	text     []byte
	complete []receivedRequest
	open     map[uint16]*drawnRequest
}

// step writes the begin of a request, or the next record of its streams.
func (d *drawnStream) step(t *rapid.T) {
	id := uint16(rapid.IntRange(1, 5).Draw(t, "id"))
	request := d.open[id]
	if request == nil {
		request = drawRequest(t)
		d.open[id] = request
		d.record(t, TypeBeginRequest, id, AppendBegin(nil, id, request.keep)[headerSize:])
		return
	}
	if !request.paramsWritten {
		request.params, request.paramsWritten = d.part(t, TypeParams, id, request.params)
		return
	}
	request.body, request.bodyWritten = d.part(t, TypeStdin, id, request.body)
	if request.bodyWritten {
		d.complete = append(d.complete, request.receivedRequest)
		delete(d.open, id)
	}
}

func drawRequest(t *rapid.T) *drawnRequest {
	request := &drawnRequest{}
	request.keep = rapid.Bool().Draw(t, "keep")
	request.end = EventBodyEnd
	for range rapid.IntRange(0, 4).Draw(t, "pairs") {
		name := rapid.StringN(0, 9, 200).Draw(t, "name")
		value := rapid.StringN(0, 200, 400).Draw(t, "value")
		request.params = AppendPair(request.params, name, value)
	}
	request.body = rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
	request.receivedRequest.params = string(request.params)
	request.receivedRequest.body = string(request.body)
	return request
}

// part writes some of a stream, and its end once nothing is left. It returns what is left, and whether it has ended.
func (d *drawnStream) part(t *rapid.T, kind RecordType, id uint16, stream []byte) (rest []byte, ended bool) {
	n := rapid.IntRange(min(1, len(stream)), len(stream)).Draw(t, "bytes")
	d.record(t, kind, id, stream[:n])
	return stream[n:], len(stream) == 0
}

// record writes a record with any padding.
func (d *drawnStream) record(t *rapid.T, kind RecordType, id uint16, content []byte) {
	padding := rapid.IntRange(0, maxPadding).Draw(t, "padding")
	header := RecordHeader(kind, id, len(content))
	header[6], header[7] = byte(padding), rapid.Byte().Draw(t, "reserved")
	d.text = append(d.text, header[:]...)
	d.text = append(d.text, content...)
	d.text = append(d.text, make([]byte, padding)...)
}

// Interleaved requests are read as they were written, whatever their records are.
func TestApplication_InterleavedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawnStream{open: map[uint16]*drawnRequest{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			stream.step(t)
		}
		for id := range stream.open {
			stream.record(t, TypeAbort, id, nil)
		}
		var source io.Reader = bytes.NewReader(stream.text)
		if rapid.Bool().Draw(t, "halves") {
			source = iotest.HalfReader(source)
		}
		bufferSize := rapid.IntRange(MinBuffer, 1<<16).Draw(t, "buffer")
		read, err := readAll(source, bufferSize, Limits{MaxRequests: 5, MaxParams: 1 << 16})
		require.ErrorIs(t, err, io.EOF)
		var complete []receivedRequest
		for _, request := range read.requests {
			if request.end == EventBodyEnd {
				complete = append(complete, request)
			}
		}
		require.Equal(t, stream.complete, complete)
	})
}

const (
	begin       = "01 01 0001 0008 00 00 0001 00 0000000000 "
	paramsEnd   = "01 04 0001 0000 00 00 "
	beginSecond = "01 01 0002 0008 00 00 0001 00 0000000000 "
	beginThird  = "01 01 0003 0008 00 00 0001 00 0000000000 "
)

// What ends a connection: nothing behind it can be read.
func TestApplication_FramingError(t *testing.T) {
	for name, text := range map[string]string{
		"another version":               "02 01 0001 0008 00 00 0001 00 0000000000",
		"a BEGIN of seven bytes":        "01 01 0001 0007 00 00 0001 00 00000000",
		"a BEGIN of nine bytes":         "01 01 0001 0009 00 00 0001 00 000000000000",
		"a BEGIN without a request":     "01 01 0000 0008 00 00 0001 00 0000000000",
		"an ID that is open":            begin + begin,
		"a body without a request":      "01 05 0000 0001 00 00 61",
		"GET_VALUES that are too long":  "01 09 0000 ffff 00 00",
		"GET_VALUES that are cut":       "01 09 0000 0002 00 00 0500",
		"an unknown type, far too long": begin + "01 40 0001 ffff 00 00",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(bytes.NewReader(parseHex(text)), MinBuffer, testLimits)
			assert.ErrorIs(t, err, ErrFraming)
		})
	}
}

// What ends one request.
func TestApplication_RejectedRequest(t *testing.T) {
	const cut = "params that end in the middle of one"
	for name, c := range map[string]struct {
		text   string
		reason string
	}{
		"an unknown type":               {begin + "01 40 0001 0001 00 00 61", "a record of type 64"},
		"STDOUT from a gateway":         {begin + "01 06 0001 0001 00 00 61", "a record of type 6"},
		"END from a gateway":            {begin + "01 03 0001 0008 00 00 0000000000000000", "a record of type 3"},
		"a body before the params' end": {begin + "01 05 0001 0001 00 00 61", "a body before the end of the params"},
		"params after their end":        {begin + paramsEnd + "01 04 0001 0001 00 00 61", "params after their end"},
		"a value of 2 GB":               {begin + "01 04 0001 0006 00 00 01 ffffffff 61" + paramsEnd, cut},
		"a name that is cut":            {begin + "01 04 0001 0002 00 00 8000" + paramsEnd, cut},
		"more params than are accepted": {begin + "01 04 0001 1001 00 00" + strings.Repeat("00", 4097), "more params than are accepted"},
	} {
		t.Run(name, func(t *testing.T) {
			read, err := readAll(bytes.NewReader(parseHex(c.text)), MinBuffer, testLimits)
			assert.ErrorIs(t, err, io.EOF)
			require.Len(t, read.requests, 1)
			assert.Equal(t, EventRejected, read.requests[0].end)
			assert.Equal(t, c.reason, read.requests[0].reason)
		})
	}
}

// A request has ended with its body. What comes behind that is nobody's.
func TestApplication_BodyAfterEnd(t *testing.T) {
	text := begin + paramsEnd + "01 05 0001 0000 00 00 01 05 0001 0001 00 00 61"
	read, err := readAll(bytes.NewReader(parseHex(text)), MinBuffer, testLimits)
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, []receivedRequest{{end: EventBodyEnd}}, read.requests)
}

// What is rejected before it is a request.
func TestApplication_RejectedBegin(t *testing.T) {
	for name, c := range map[string]struct {
		text        string
		maxRequests int
		want        Status
	}{
		"another role":                   {"01 01 0001 0008 00 00 0002 00 0000000000 " + paramsEnd, 2, StatusUnknownRole},
		"a second where one is accepted": {begin + beginSecond + "01 05 0002 0001 00 00 61", 1, StatusCantMultiplex},
		"more than are accepted":         {begin + beginSecond + beginThird, 2, StatusOverloaded},
	} {
		t.Run(name, func(t *testing.T) {
			limits := Limits{MaxRequests: c.maxRequests, MaxParams: 99}
			read, err := readAll(bytes.NewReader(parseHex(c.text)), MinBuffer, limits)
			assert.ErrorIs(t, err, io.EOF)
			require.Len(t, read.replies, headerSize+fixedBodySize)
			assert.Equal(t, byte(c.want), read.replies[headerSize+4])
		})
	}
}

func FuzzApplication(f *testing.F) {
	f.Add(parseHex(gatewayStream))
	f.Fuzz(func(t *testing.T, text []byte) {
		limits := Limits{MaxRequests: 3, MaxParams: 64}
		reader, app := &Reader{}, &Application{Limits: limits}
		reader.Init(bytes.NewReader(text), make([]byte, MinBuffer))
		for {
			piece, err := reader.Next()
			if err != nil {
				return
			}
			event, err := app.Take(piece)
			if err != nil {
				return
			}
			if event.Kind == EventParams && checkPairs(event.Params) != nil {
				t.Fatal("params that are no list")
			}
			if app.Open() > limits.MaxRequests {
				t.Fatal("more requests are open than are accepted")
			}
			for _, request := range app.open {
				if len(request.params) > limits.MaxParams {
					t.Fatal("a request holds more params than are accepted")
				}
			}
		}
	})
}
