package httpwire

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// cutSource is a connection that delivers a text in pieces of the given sizes, over and over.
type cutSource struct {
	text   string
	pieces []int
	reads  int
}

func (c *cutSource) Read(to []byte) (int, error) {
	if c.text == "" {
		return 0, io.EOF
	}
	c.reads++
	piece := c.pieces[c.reads%len(c.pieces)]
	n := copy(to, c.text[:min(len(c.text), piece)])
	c.text = c.text[n:]
	return n, nil
}

// memoryBudget is a MemoryReserver with so many bytes left.
type memoryBudget int

func (m *memoryBudget) Reserve(n int) bool {
	if int(*m) < n {
		return false
	}
	*m -= memoryBudget(n)
	return true
}

func (m *memoryBudget) Release(n int) { *m += memoryBudget(n) }

var streamSizes = Sizes{BufferSize: 64, ReadSize: 16, MaxHead: 400, MaxBody: 100, MaxStream: 4999, MaxChunkLine: 32}

// However a message is cut, its body is read as it was written, with its message or as a stream, and the next message
// is found behind it.
func TestReader_BodyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 99, 100, 101, 500, 5000}).Draw(t, "size")
		body := strings.Repeat("0123456789\r\n", size/12+1)[:size]
		text := drawRequest(t, body)
		pieces := rapid.SliceOfN(rapid.IntRange(1, 300), 1, 9).Draw(t, "pieces")
		r := NewReader(&cutSource{text: text + "\r\n" + text, pieces: pieces}, streamSizes)
		// Where it does not suffice a smaller body is streamed as well.
		budget := memoryBudget(rapid.IntRange(0, 50).Draw(t, "budget"))
		left := budget
		r.Memory = &left
		for range 2 {
			request, err := r.ReadRequest()
			if request != nil {
				maxReserved := max(0, len(request.Body)-streamSizes.BufferSize+streamSizes.MaxChunkLine)
				require.LessOrEqual(t, request.ReservedBytes, maxReserved)
				left.Release(request.ReservedBytes)
			}
			require.Equal(t, budget, left)
			if size > streamSizes.MaxStream && request == nil {
				require.ErrorIs(t, err, ErrBodyTooLarge)
				return
			}
			require.NoError(t, err)
			streamed := size > streamSizes.MaxBody || size-streamSizes.BufferSize > int(budget)
			assert.Equal(t, streamed, request.BodyStream != nil)
			received := bytes.Clone(request.Body)
			if request.BodyStream != nil {
				more, err := readClaimed(t, request.BodyStream)
				if size > streamSizes.MaxStream {
					require.ErrorIs(t, err, ErrBodyTooLarge)
					return
				}
				require.NoError(t, err)
				require.True(t, request.BodyStream.Complete())
				received = append(received, more...)
			}
			require.Equal(t, body, string(received))
		}
	})
}

// drawRequest returns a request with a body, by its length or in chunks of any size.
func drawRequest(t *rapid.T, body string) string {
	if !rapid.Bool().Draw(t, "chunked") {
		return fmt.Sprintf("POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	var text strings.Builder
	text.WriteString("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
	for rest := body; rest != ""; {
		size := min(len(rest), rapid.IntRange(1, 700).Draw(t, "chunk"))
		fmt.Fprintf(&text, "%X;a=\"b\"\r\n%s\r\n", size, rest[:size])
		rest = rest[size:]
	}
	text.WriteString("0\r\nTrailer: x\r\n\r\n")
	return text.String()
}

// readClaimed reads a stream, which one reader can do once.
func readClaimed(t *rapid.T, stream *BodyStream) ([]byte, error) {
	require.True(t, stream.Claim())
	require.False(t, stream.Claim(), "it has a reader")
	data, err := io.ReadAll(stream)
	stream.Release()
	require.False(t, stream.Claim(), "what was read can't be read again")
	return data, err
}

// FuzzLargeBody checks that a streamed body is the same after it was forwarded.
func FuzzLargeBody(f *testing.F) {
	f.Add([]byte(bookRequest))
	f.Add([]byte("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"1a;a=b\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("POST /x HTTP/1.1\r\nContent-Length: 20\r\n\r\n0123456789\r\n01234567"))
	sizes := Sizes{BufferSize: 32, ReadSize: 8, MaxHead: 1024, MaxBody: 8, MaxStream: 64, MaxChunkLine: 16}
	forwardedSizes := Sizes{BufferSize: 64, ReadSize: 64, MaxHead: 1 << 16, MaxBody: 4096, MaxChunkLine: 64}
	f.Fuzz(func(t *testing.T, text []byte) {
		request, err := NewReader(iotest.OneByteReader(bytes.NewReader(text)), sizes).ReadRequest()
		if err != nil || request.BodyStream == nil {
			return
		}
		body := bytes.Clone(request.Body)
		forwarded := request.AppendHead(nil, "h", time.Second)
		more, err := io.ReadAll(request.BodyStream)
		if err != nil {
			return
		}
		body = append(body, more...)
		if len(body) > sizes.MaxStream || !request.BodyStream.Complete() {
			t.Fatalf("%q: a body of %d bytes", text, len(body))
		}
		if bytes.Contains(forwarded, []byte("chunked")) {
			forwarded = fmt.Appendf(forwarded, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		} else {
			forwarded = append(forwarded, body...)
		}
		again, err := NewReader(bytes.NewReader(forwarded), forwardedSizes).ReadRequest()
		if err != nil || !bytes.Equal(again.Body, body) {
			t.Fatalf("%q was forwarded as another request: %v", text, err)
		}
	})
}
