package handover

import (
	"encoding/binary"
	"hash/crc32"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// timeout limits each wait of these tests.
const timeout = 20 * time.Second

// channelPeer sends what it receives to channels. It closes connections on which no request has arrived.
type channelPeer struct {
	conns        chan net.Conn
	commands     chan Command // also other messages: Path is "ready" or the request IDs
	disconnected chan error
}

func newChannelPeer() *channelPeer {
	return &channelPeer{
		conns:        make(chan net.Conn, 100),
		commands:     make(chan Command, 9),
		disconnected: make(chan error, 1),
	}
}

func (c *channelPeer) SuccessorReady()           { c.commands <- Command{Path: "ready"} }
func (c *channelPeer) RequestIDs(encoded []byte) { c.commands <- Command{Path: string(encoded)} }
func (c *channelPeer) Command(command Command)   { c.commands <- command }
func (c *channelPeer) Disconnected(err error)    { c.disconnected <- err }

func (c *channelPeer) Connection(conn net.Conn, hadRequest bool) {
	if hadRequest {
		c.conns <- conn
	} else {
		conn.Close()
	}
}

func receive[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(timeout):
		require.Fail(t, "nothing received")
		panic("unreachable")
	}
}

// newLinkPair returns the two ends of a link. The path of the socket is longer than the kernel accepts.
func newLinkPair(t *testing.T) (predecessor, successor *Link) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	require.NoError(t, os.Mkdir(dir, 0o700))
	path := SocketPath(dir, "a name\nof any form")
	stale, err := Listen(path)
	require.NoError(t, err)
	stale.Close()
	listener, err := Listen(path)
	require.NoError(t, err, "the socket that an ended process has left is replaced")
	defer listener.Close()
	successor, err = Dial(path, 5*time.Second)
	require.NoError(t, err)
	conn, err := listener.AcceptUnix()
	require.NoError(t, err)
	t.Cleanup(func() {
		successor.Close()
		conn.Close()
	})
	return NewLink(conn), successor
}

// newClients returns both ends of TCP connections: the clients' ends and the accepted ends.
func newClients(t *testing.T, count int) (clients, accepted []net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for range count {
		client, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { client.Close() })
		conn, err := listener.Accept()
		require.NoError(t, err)
		clients, accepted = append(clients, client), append(accepted, conn)
	}
	return clients, accepted
}

func TestLink_TransfersInOrder(t *testing.T) {
	predecessor, successor := newLinkPair(t)
	state := strings.Repeat("x", 3<<20) // far more than the kernel buffers
	go predecessor.SendState(state)
	var got string
	require.NoError(t, successor.ReceiveState(&got, timeout))
	assert.Equal(t, state, got)
	peer := newChannelPeer()
	go successor.Serve(peer)
	clients, accepted := newClients(t, 50)
	for i, conn := range accepted {
		clients[i].Write([]byte("request"))
		require.NoError(t, predecessor.SendConnection(conn, true))
		conn.Close()
	}
	require.NoError(t, predecessor.SendRequestIDs([]byte("ids")))
	require.NoError(t, predecessor.SendCommand(Command{Path: "/x", Server: "s1"}))
	for _, client := range clients {
		conn := receive(t, peer.conns)
		buffer := make([]byte, 7)
		conn.SetDeadline(time.Now().Add(timeout))
		_, err := conn.Read(buffer)
		require.NoError(t, err)
		assert.Equal(t, "request", string(buffer))
		conn.Write([]byte("!"))
		conn.Close()
		client.SetDeadline(time.Now().Add(timeout))
		n, err := client.Read(buffer)
		require.NoError(t, err)
		assert.Equal(t, "!", string(buffer[:n]))
	}
	assert.Equal(t, Command{Path: "ids"}, receive(t, peer.commands))
	assert.Equal(t, Command{Path: "/x", Server: "s1"}, receive(t, peer.commands))
	predecessor.Close()
	assert.Error(t, receive(t, peer.disconnected))
}

// rawMessage encodes a message whose payload need not be JSON.
func rawMessage(kind messageKind, payload string) string {
	head := make([]byte, headerSize)
	head[0] = byte(kind)
	binary.BigEndian.PutUint32(head[1:], uint32(len(payload)))
	binary.BigEndian.PutUint32(head[5:], crc32.Checksum([]byte(payload), castagnoli))
	return string(head) + payload
}

func TestLink_MalformedMessageClosesLink(t *testing.T) {
	const truncated = "truncated"
	for name, text := range map[string]string{
		"unknown kind":   rawMessage('X', "{}"),
		"too long":       "W\xff\xff\xff\xff\x00\x00\x00\x00",
		"no JSON":        rawMessage('W', "{"),
		"no descriptor":  rawMessage('C', "true"),
		truncated:        "W\x00",
		"wrong checksum": rawMessage('W', "{}")[:headerSize] + "{ ",
		"no request IDs": rawMessage('I', "7"),
	} {
		t.Run(name, func(t *testing.T) {
			predecessor, successor := newLinkPair(t)
			peer := newChannelPeer()
			go successor.Serve(peer)
			predecessor.conn.Write([]byte(text))
			if name == truncated {
				predecessor.Close()
			}
			assert.Error(t, receive(t, peer.disconnected))
			assert.Empty(t, peer.commands)
		})
	}
}

// FuzzLink checks that a link either reads any given bytes as messages or ends with an error.
func FuzzLink(f *testing.F) {
	f.Add([]byte(rawMessage('S', "{}") + rawMessage('W', `{"Call":"/x"}`) +
		rawMessage('I', `"AAAA"`) + rawMessage('T', "{}")))
	f.Add([]byte(rawMessage('S', "{}") + rawMessage('C', "true")))
	f.Add([]byte("W\x00\xff\xff\xff{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		near, far := socketPair(t)
		go func() {
			far.Write(text)
			far.Close()
		}()
		link := NewLink(near)
		var state any
		if link.ReceiveState(&state, timeout) != nil {
			link.Close()
			return
		}
		peer := &channelPeer{make(chan net.Conn, 1), make(chan Command, len(text)), make(chan error, 1)}
		link.Serve(peer)
		if <-peer.disconnected == nil {
			t.Fatal("the link ended without a reason")
		}
	})
}

func TestLoad_MissingFileLeavesState(t *testing.T) {
	state := map[string]int{"before": 1}
	require.NoError(t, Load(filepath.Join(t.TempDir(), "state"), &state))
	assert.Equal(t, map[string]int{"before": 1}, state)
}

func TestLoad_SetsCorruptFileAside(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	require.NoError(t, Save(path, map[string]int{"a": 1}))
	var got map[string]int
	require.NoError(t, Load(path, &got))
	assert.Equal(t, map[string]int{"a": 1}, got)
	saved, err := os.ReadFile(path)
	require.NoError(t, err)
	corrupt := []string{
		`{"a":`,
		"foreign",
		string(saved) + " ",
		strings.Replace(string(saved), "1", "2", 1),
		rawMessage('W', "{}"),
		rawMessage('K', "[1]"),
	}
	for size := range len(saved) {
		corrupt = append(corrupt, string(saved[:size]))
	}
	for _, text := range corrupt {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		err := Load(path, &got)
		assert.ErrorContains(t, err, "set aside", "%q", text)
		var corruptErr *CorruptError
		assert.ErrorAs(t, err, &corruptErr, "%q", text)
		assert.NoError(t, Load(path, &got), "the next start finds no file")
		aside, err := os.ReadFile(path + ".bad")
		require.NoError(t, err)
		assert.Equal(t, text, string(aside))
	}
	require.NoError(t, os.WriteFile(path, []byte(`{"a":3}`), 0o600))
	require.NoError(t, Load(path, &got), "the form of older versions")
	assert.Equal(t, map[string]int{"a": 3}, got)
	files, err := os.ReadDir(filepath.Dir(path))
	require.NoError(t, err)
	assert.Len(t, files, 2)
}
