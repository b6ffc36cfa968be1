package fleet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

var (
	west = Place{Region: 0, Zone: 0, Rack: 0, Machine: 0}
	east = Place{Region: 1, Zone: 4, Rack: 12, Machine: 60}
)

// noLeaks looks for goroutines when everything of the test has been cleaned up.
func noLeaks(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
}

// pair is a connection from west to east, and its other end.
func pair(t *testing.T, n *Network) (here, there net.Conn, traffic *Traffic) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	traffic = &Traffic{}
	here, err = n.Dial(t.Context(), west, east, ln.Addr().String(), traffic)
	require.NoError(t, err)
	there, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { n.Set(nil); here.Close(); there.Close() })
	return
}

func reads(t *testing.T, c net.Conn, want string) {
	t.Helper()
	b := make([]byte, len(want))
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := io.ReadFull(c, b)
	require.NoError(t, err)
	assert.Equal(t, want, string(b))
}

func readsNothing(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	n, err := c.Read(make([]byte, 9))
	assert.Zero(t, n)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestACutHoldsBackWhatIsOnItsWayAndTheRestFollows(t *testing.T) {
	noLeaks(t)
	for name, c := range map[string]Cut{"regions": {From: Scope{"region", 0}, To: Scope{"region", 1}}, "zone": {From: Scope{"zone", 4}}, "rack": {From: Scope{"rack", 12}},
		"machine": {From: Scope{"machine", 60}}} {
		t.Run(name, func(t *testing.T) {
			n := NewNetwork(Latency{})
			here, there, traffic := pair(t, n)
			io.WriteString(here, "a")
			reads(t, there, "a")
			n.Set([]Cut{c})
			io.WriteString(here, "b")
			io.WriteString(there, "c")
			readsNothing(t, there)
			readsNothing(t, here)
			ctx, end := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer end()
			_, err := n.Dial(ctx, west, east, "127.0.0.1:1", traffic)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "a dial is not answered, nor refused")
			n.Set(nil)
			reads(t, there, "b")
			reads(t, here, "c")
			n.Set([]Cut{c})
			here.Close()
			readsNothing(t, there)
			n.Set(nil)
			there.SetReadDeadline(time.Now().Add(20 * time.Second))
			_, err = there.Read(make([]byte, 1))
			assert.ErrorIs(t, err, io.EOF, "the end is heard when the way is open again")
			v := traffic.Volume()
			assert.Equal(t, Volume{Out: 2, In: 1, Writes: 2, Reads: 1, Dials: 2, Failed: 1}, v)
			assert.EqualValues(t, 3+headerBytes*(2*3+7*2), v.Wire())
		})
	}
}

func TestACutOneWayLetsTheOtherThrough(t *testing.T) {
	noLeaks(t)
	n := NewNetwork(Latency{})
	here, there, _ := pair(t, n)
	n.Set([]Cut{{From: Scope{"region", 1}, To: Scope{"region", 0}, OneWay: true}})
	io.WriteString(here, "a")
	reads(t, there, "a")
	io.WriteString(there, "b")
	readsNothing(t, here)
	n.Set([]Cut{{From: Scope{"region", 0}, To: Scope{"region", 1}, OneWay: true}})
	reads(t, here, "b")
	io.WriteString(here, "c")
	readsNothing(t, there)
}

func TestAReaderOfAClosedLinkReturnsAlsoWhileItIsCut(t *testing.T) {
	noLeaks(t)
	n := NewNetwork(Latency{})
	here, there, _ := pair(t, n)
	n.Set([]Cut{{From: Scope{"region", 1}}})
	io.WriteString(there, "x")
	done := make(chan error)
	go func() { _, err := here.Read(make([]byte, 1)); done <- err }()
	here.Close()
	select {
	case err := <-done:
		assert.Error(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("it still reads")
	}
}

func TestARelayGoesToTheFirstThatAnswers(t *testing.T) {
	noLeaks(t)
	n := NewNetwork(Latency{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead.Close()
	r, err := NewRelay(n, west, "127.0.0.1:0", func() []target { return []target{{east, dead.Addr().String()}, {east, ln.Addr().String()}} })
	require.NoError(t, err)
	defer r.Close()
	here, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	defer here.Close()
	there, err := ln.Accept()
	require.NoError(t, err)
	defer there.Close()
	io.WriteString(here, "up")
	reads(t, there, "up")
	io.WriteString(there, "down")
	reads(t, here, "down")
	assert.EqualValues(t, 1, r.Volume().Failed)
	there.Close()
	here.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err = here.Read(make([]byte, 1))
	assert.True(t, errors.Is(err, io.EOF), "%v", err)
}

func TestLatencyIsThatOfTheWay(t *testing.T) {
	l := Latency{Region: 3, Zone: 2, Rack: 1}
	assert.EqualValues(t, 3, l.of(west, east))
	assert.EqualValues(t, 2, l.of(west, Place{Zone: 1}))
	assert.EqualValues(t, 1, l.of(west, Place{Machine: 5}))
	assert.Zero(t, l.of(west, west))
}
