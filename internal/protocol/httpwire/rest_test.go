package httpwire

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// drawn is a connection that gives its bytes in pieces of the sizes drawn.
type drawn struct {
	text  string
	sizes []int
	k     int
}

func (d *drawn) Read(to []byte) (int, error) {
	if d.text == "" {
		return 0, io.EOF
	}
	d.k++
	n := copy(to, d.text[:min(len(d.text), d.sizes[d.k%len(d.sizes)])])
	d.text = d.text[n:]
	return n, nil
}

// room has so many bytes left.
type room int

func (r *room) Reserve(n int) bool {
	if int(*r) < n {
		return false
	}
	*r -= room(n)
	return true
}
func (r *room) Release(n int) { *r += room(n) }

// However a message is cut, its body comes out the same, whole or in pieces, and the next message is found behind it.
func TestBodiesComeOutAsTheyWentIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{0, 1, 99, 100, 101, 500, 5000}).Draw(t, "size")
		body := strings.Repeat("0123456789\r\n", n/12+1)[:n]
		var text string
		if rapid.Bool().Draw(t, "chunked") {
			text = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
			for rest := body; rest != ""; {
				k := min(len(rest), rapid.IntRange(1, 700).Draw(t, "chunk"))
				text += fmt.Sprintf("%X;a=\"b\"\r\n%s\r\n", k, rest[:k])
				rest = rest[k:]
			}
			text += "0\r\nTrailer: x\r\n\r\n"
		} else {
			text = fmt.Sprintf("POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", n, body)
		}
		src := &drawn{text: text + "\r\n" + text, sizes: rapid.SliceOfN(rapid.IntRange(1, 300), 1, 9).Draw(t, "pieces")}
		r := NewReader(src, Sizes{BufferSize: 64, ReadSize: 16, MaxHead: 400, MaxBody: 100, MaxStream: 4999, MaxChunkLine: 32})
		had := room(rapid.IntRange(0, 50).Draw(t, "room")) // without enough of it a smaller one passes in pieces, too
		left := had
		r.Memory = &left
		for range 2 {
			q, err := r.ReadRequest()
			if q != nil {
				require.LessOrEqual(t, q.ReservedBytes, max(0, len(q.Body)-64+r.sizes.MaxChunkLine))
				left.Release(q.ReservedBytes)
			}
			require.Equal(t, had, left)
			if n > 4999 && q == nil {
				require.ErrorIs(t, err, ErrBodyTooLarge)
				return
			}
			require.NoError(t, err)
			got := bytes.Clone(q.Body)
			if assert.Equal(t, n > 100 || n-64 > int(had), q.BodyStream != nil); q.BodyStream != nil {
				require.True(t, q.BodyStream.Claim())
				require.False(t, q.BodyStream.Claim())
				more, err := io.ReadAll(q.BodyStream)
				if n > 4999 {
					require.ErrorIs(t, err, ErrBodyTooLarge)
					return
				}
				require.NoError(t, err)
				q.BodyStream.Release()
				require.False(t, q.BodyStream.Claim(), "what was read can't be read again")
				require.True(t, q.BodyStream.Complete())
				got = append(got, more...)
			}
			require.Equal(t, body, string(got))
		}
	})
}

func TestAnAnswerUpToTheEndOfItsConnectionHasToSaySo(t *testing.T) {
	sizes := Sizes{BufferSize: 64, ReadSize: 16, MaxHead: 400, MaxBody: 100, MaxStream: 1000, StreamPrefix: 20, MaxChunkLine: 32}
	for _, n := range []int{0, 1, 100, 101, 1000} {
		body := strings.Repeat("x", n)
		p, err := NewReader(&drawn{text: "HTTP/1.1 200 \r\nConnection: close\r\n\r\n" + body, sizes: []int{7}}, sizes).ReadResponse()
		require.NoError(t, err)
		got := p.Body
		if p.BodyStream != nil {
			more, err := io.ReadAll(p.BodyStream)
			require.NoError(t, err)
			got = append(got, more...)
		}
		assert.Equal(t, body, string(got))
		assert.True(t, p.Close)
	}
	_, err := NewReader(&drawn{text: "HTTP/1.1 200 OK\r\n\r\nx", sizes: []int{7}}, sizes).ReadResponse()
	assert.ErrorIs(t, err, ErrMalformed)
	// Said to be large and cut short before anything was passed on: another server can still be asked.
	_, err = NewReader(&drawn{text: "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("x", 19), sizes: []int{7}}, sizes).ReadResponse()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
