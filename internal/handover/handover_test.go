package handover

import (
	"encoding/binary"
	"hash/crc32"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type peer struct {
	conns chan net.Conn
	words chan Command
	ended chan error
}

func newPeer() *peer {
	return &peer{make(chan net.Conn, 100), make(chan Command, 9), make(chan error, 1)}
}
func (p *peer) SuccessorReady()       { p.words <- Command{Path: "takes"} }
func (p *peer) RequestIDs(all []byte) { p.words <- Command{Path: string(all)} }
func (p *peer) Connection(c net.Conn, asked bool) {
	if asked {
		p.conns <- c
	} else {
		c.Close()
	}
}
func (p *peer) Command(w Command)      { p.words <- w }
func (p *peer) Disconnected(err error) { p.ended <- err }

func one[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(20 * time.Second):
		require.Fail(t, "nothing came")
		panic("")
	}
}

// pair is a link's two ends, at a path longer than the kernel takes.
func pair(t *testing.T) (old, heir *Link) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	require.NoError(t, os.Mkdir(dir, 0o700))
	path := SocketPath(dir, "a name\nof any form")
	stale, err := Listen(path)
	require.NoError(t, err)
	stale.Close()
	ln, err := Listen(path)
	require.NoError(t, err, "what a process left behind is no hindrance")
	defer ln.Close()
	heir, err = Dial(path, 5*time.Second)
	require.NoError(t, err)
	c, err := ln.AcceptUnix()
	require.NoError(t, err)
	t.Cleanup(func() { heir.Close(); c.Close() })
	return NewLink(c), heir
}

func TestStateConnectionsAndWordsComeAcrossInOrder(t *testing.T) {
	old, heir := pair(t)
	big := strings.Repeat("x", 3<<20) // far more than the kernel holds for a message
	go old.SendState(big)
	var got string
	require.NoError(t, heir.ReceiveState(&got, 20*time.Second))
	assert.Equal(t, big, got)
	p := newPeer()
	go heir.Serve(p)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	var callers []net.Conn
	for range 50 {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		callers = append(callers, c)
		in, err := ln.Accept()
		require.NoError(t, err)
		c.Write([]byte("crossed"))
		require.NoError(t, old.SendConnection(in, true))
		in.Close()
	}
	require.NoError(t, old.SendRequestIDs([]byte("ids")))
	require.NoError(t, old.SendCommand(Command{Path: "/x", Server: "s1"}))
	for _, c := range callers {
		in := one(t, p.conns)
		buf := make([]byte, 7)
		in.SetDeadline(time.Now().Add(20 * time.Second))
		_, err := in.Read(buf)
		require.NoError(t, err)
		assert.Equal(t, "crossed", string(buf))
		in.Write([]byte("!"))
		in.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		n, err := c.Read(buf)
		require.NoError(t, err)
		assert.Equal(t, "!", string(buf[:n]))
	}
	assert.Equal(t, Command{Path: "ids"}, one(t, p.words))
	assert.Equal(t, Command{Path: "/x", Server: "s1"}, one(t, p.words))
	old.Close()
	assert.Error(t, one(t, p.ended))
}

// message is one whose text need be no JSON.
func message(kind byte, text string) string {
	head := make([]byte, headSize)
	head[0] = kind
	binary.BigEndian.PutUint32(head[1:], uint32(len(text)))
	binary.BigEndian.PutUint32(head[5:], crc32.Checksum([]byte(text), table))
	return string(head) + text
}

func TestWhatIsNoMessageEndsTheLink(t *testing.T) {
	for name, text := range map[string]string{"kind": message('X', "{}"), "length": "W\xff\xff\xff\xff\x00\x00\x00\x00", "json": message('W', "{"),
		"no descriptor": message('C', "true"), "cut off": "W\x00", "torn": message('W', "{}")[:headSize] + "{ ", "no ids": message('I', "7")} {
		old, heir := pair(t)
		p := newPeer()
		go heir.Serve(p)
		old.c.Write([]byte(text))
		if name == "cut off" {
			old.Close()
		}
		assert.Error(t, one(t, p.ended), name)
		assert.Empty(t, p.words)
	}
}

// Whatever another process sends, this one reads it as messages or ends the link.
func FuzzLink(f *testing.F) {
	f.Add([]byte(message('S', "{}") + message('W', `{"Call":"/x"}`) + message('I', `"AAAA"`) + message('T', "{}")))
	f.Add([]byte(message('S', "{}") + message('C', "true")))
	f.Add([]byte("W\x00\xff\xff\xff{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Skip(err)
		}
		var ends [2]*net.UnixConn
		for i, fd := range fds {
			file := os.NewFile(uintptr(fd), "end")
			c, err := net.FileConn(file)
			file.Close()
			if err != nil {
				t.Skip(err)
			}
			ends[i] = c.(*net.UnixConn)
		}
		go func() {
			ends[1].Write(text)
			ends[1].Close()
		}()
		l := NewLink(ends[0])
		var state any
		if l.ReceiveState(&state, 20*time.Second) != nil {
			l.Close()
			return
		}
		p := &peer{make(chan net.Conn, 1), make(chan Command, len(text)), make(chan error, 1)}
		l.Serve(p)
		if <-p.ended == nil {
			t.Fatal("it ended without a reason")
		}
	})
}

func TestWhatWasSaidIsKeptWholeOrNotAtAll(t *testing.T) {
	path := filepath.Join(t.TempDir(), "said")
	got := map[string]int{"before": 1}
	require.NoError(t, Load(path, &got))
	assert.Equal(t, map[string]int{"before": 1}, got)
	require.NoError(t, Save(path, map[string]int{"a": 1}))
	got = nil
	require.NoError(t, Load(path, &got))
	assert.Equal(t, map[string]int{"a": 1}, got)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	bad := []string{`{"a":`, "foreign", string(whole) + " ", strings.Replace(string(whole), "1", "2", 1), message('W', "{}"), message('K', "[1]")}
	for n := range len(whole) { // each cut
		bad = append(bad, string(whole[:n]))
	}
	for _, text := range bad {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		assert.ErrorContains(t, Load(path, &got), "set aside", "%q", text)
		assert.NoError(t, Load(path, &got), "the next start finds nothing there")
		aside, err := os.ReadFile(path + ".bad")
		require.NoError(t, err)
		assert.Equal(t, text, string(aside))
	}
	require.NoError(t, os.WriteFile(path, []byte(`{"a":3}`), 0o600))
	require.NoError(t, Load(path, &got), "of the form before")
	assert.Equal(t, map[string]int{"a": 3}, got)
	all, err := os.ReadDir(filepath.Dir(path))
	require.NoError(t, err)
	assert.Len(t, all, 2)
}
