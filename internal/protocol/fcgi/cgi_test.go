package fcgi

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const testMaxHead = 1000

func TestReadCGI(t *testing.T) {
	for text, want := range map[string]CGI{
		"Content-Type: text/plain\n\nx":                      {Status: 200, ContentType: "text/plain", Length: -1},
		"status: 404 Not Found\r\nContent-type:a/b\r\n\r\nx": {Status: 404, ContentType: "a/b", Length: -1},
		"Location: http://a/\n\nx":                           {Status: 302, Location: "http://a/", Length: -1},
		"Status: 200\nX-Never-Ran: 1\nSet-Cookie: a\nset-cookie: b\nContent-Length: 1\n\nx": {
			Status: 200,
			Length: 1,
			Fields: map[string][]string{"x-never-ran": {"1"}, "set-cookie": {"a", "b"}},
		},
		"\nx": {Status: 200, Length: -1},
	} {
		t.Run(text, func(t *testing.T) {
			for cut := range len(text) - 1 {
				_, _, complete, err := ReadCGI([]byte(text[:cut]), testMaxHead)
				assert.NoError(t, err)
				assert.False(t, complete, "%q", text[:cut])
			}
			head, body, complete, err := ReadCGI([]byte(text), testMaxHead)
			assert.NoError(t, err)
			assert.True(t, complete)
			assert.Equal(t, "x", string(body))
			assert.Equal(t, want, head)
		})
	}
}

func TestReadCGI_Malformed(t *testing.T) {
	for _, text := range []string{
		"Status: 200\nstatus: 500\n\n",
		"Status: 99\n\n",
		"Status: 1000\n\n",
		"Status: 100\n\n",
		"Status: +20\n\n",
		"Content-Length: 1\nContent-Length: 1\n\n",
		"Content-Length: -1\n\n",
		"Content-Length: +1\n\n",
		"Content-Length:\n\n",
		"Content-Type: a\nContent-Type: a\n\n",
		"Location: a\nLocation: b\n\n",
		"no colon\n\n",
		": x\n\n",
		"A B: x\n\n",
		" A: x\n\n",
		"A: b\rc\n\n",
		"A: b\x00c\n\n",
		"HTTP/1.1 200 OK\n\n",
		strings.Repeat("x", testMaxHead+1),
		"A: " + strings.Repeat("x", testMaxHead) + "\n\n",
	} {
		t.Run(text[:min(len(text), 40)], func(t *testing.T) {
			_, _, _, err := ReadCGI([]byte(text), testMaxHead)
			assert.ErrorIs(t, err, ErrHead)
		})
	}
}

func FuzzCGI(f *testing.F) {
	f.Add([]byte("Status: 200 OK\r\nContent-Type: a/b\r\nX: y\r\n\r\nbody"))
	f.Fuzz(func(t *testing.T, text []byte) {
		head, body, complete, err := ReadCGI(text, 256)
		if err != nil || !complete {
			return
		}
		if head.Status < minCGIStatus || head.Status > maxCGIStatus || !bytes.HasSuffix(text, body) {
			t.Fatalf("%+v", head)
		}
	})
}
