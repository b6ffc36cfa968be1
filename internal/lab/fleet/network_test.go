package fleet

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	eventTimeout = 20 * time.Second
	silence      = 30 * time.Millisecond // in which nothing may arrive
)

var (
	west = Place{Region: 0, Zone: 0, Rack: 0, Machine: 0}
	east = Place{Region: 1, Zone: 4, Rack: 12, Machine: 60}

	westRegion = Scope{Kind: scopeRegion, Number: 0}
	eastRegion = Scope{Kind: scopeRegion, Number: 1}
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// dialEast returns a connection from west to east, and its other end.
func dialEast(t *testing.T, network *Network) (here, there net.Conn, traffic *Traffic) {
	t.Helper()
	listener := listen(t)
	traffic = &Traffic{}
	here, err := network.Dial(t.Context(), west, east, listener.Addr().String(), traffic)
	require.NoError(t, err)
	there, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		network.SetPartitions(nil)
		here.Close()
		there.Close()
	})
	return here, there, traffic
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

func assertReads(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	buffer := make([]byte, len(want))
	conn.SetReadDeadline(time.Now().Add(eventTimeout))
	_, err := io.ReadFull(conn, buffer)
	require.NoError(t, err)
	assert.Equal(t, want, string(buffer))
}

func assertReadsEnd(t *testing.T, conn net.Conn, message string) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(eventTimeout))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, message)
}

func assertReadsNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(silence))
	n, err := conn.Read(make([]byte, 9))
	assert.Zero(t, n)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestNetwork_PartitionHoldsBackData(t *testing.T) {
	requireNoLeaks(t)
	for name, partition := range map[string]Partition{
		"regions": {From: westRegion, To: eastRegion},
		"zone":    {From: Scope{Kind: scopeZone, Number: 4}},
		"rack":    {From: Scope{Kind: scopeRack, Number: 12}},
		"machine": {From: Scope{Kind: scopeMachine, Number: 60}},
	} {
		t.Run(name, func(t *testing.T) {
			network := NewNetwork(Latency{})
			here, there, traffic := dialEast(t, network)
			write(t, here, "a")
			assertReads(t, there, "a")
			network.SetPartitions([]Partition{partition})
			write(t, here, "b")
			write(t, there, "c")
			assertReadsNothing(t, there)
			assertReadsNothing(t, here)
			ctx, cancel := context.WithTimeout(t.Context(), silence)
			defer cancel()
			_, err := network.Dial(ctx, west, east, "127.0.0.1:1", traffic)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "a dial is not answered, nor refused")
			network.SetPartitions(nil)
			assertReads(t, there, "b")
			assertReads(t, here, "c")
			network.SetPartitions([]Partition{partition})
			here.Close()
			assertReadsNothing(t, there)
			network.SetPartitions(nil)
			assertReadsEnd(t, there, "the close arrives after the partition")
			volume := traffic.Volume()
			assert.Equal(t, Volume{Out: 2, In: 1, Writes: 2, Reads: 1, Dials: 2, Failed: 1}, volume)
			assert.EqualValues(t, 3+headerBytes*(2*3+7*2), volume.Wire())
		})
	}
}

func TestNetwork_OneWayPartition(t *testing.T) {
	requireNoLeaks(t)
	network := NewNetwork(Latency{})
	here, there, _ := dialEast(t, network)
	network.SetPartitions([]Partition{{From: eastRegion, To: westRegion, OneWay: true}})
	write(t, here, "a")
	assertReads(t, there, "a")
	write(t, there, "b")
	assertReadsNothing(t, here)
	network.SetPartitions([]Partition{{From: westRegion, To: eastRegion, OneWay: true}})
	assertReads(t, here, "b")
	write(t, here, "c")
	assertReadsNothing(t, there)
}

func TestNetwork_CloseEndsReadDuringPartition(t *testing.T) {
	requireNoLeaks(t)
	network := NewNetwork(Latency{})
	here, there, _ := dialEast(t, network)
	network.SetPartitions([]Partition{{From: eastRegion}})
	write(t, there, "x")
	done := make(chan error)
	go func() {
		_, err := here.Read(make([]byte, 1))
		done <- err
	}()
	here.Close()
	select {
	case err := <-done:
		assert.Error(t, err)
	case <-time.After(eventTimeout):
		t.Fatal("it still reads")
	}
}

func TestProxy_FirstTargetThatAnswers(t *testing.T) {
	requireNoLeaks(t)
	listener, dead := listen(t), listen(t)
	dead.Close()
	targets := []target{
		{place: east, address: dead.Addr().String()},
		{place: east, address: listener.Addr().String()},
	}
	proxy, err := startProxy(NewNetwork(Latency{}), west, "127.0.0.1:0", func() []target { return targets })
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	here, err := net.Dial("tcp", proxy.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { here.Close() })
	there, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { there.Close() })
	write(t, here, "up")
	assertReads(t, there, "up")
	write(t, there, "down")
	assertReads(t, here, "down")
	assert.EqualValues(t, 1, proxy.Volume().Failed)
	there.Close()
	assertReadsEnd(t, here, "")
}

func TestLatency_Between(t *testing.T) {
	latency := Latency{Region: 3, Zone: 2, Rack: 1}
	assert.EqualValues(t, 3, latency.between(west, east))
	assert.EqualValues(t, 2, latency.between(west, Place{Zone: 1}))
	assert.EqualValues(t, 1, latency.between(west, Place{Machine: 5}))
	assert.Zero(t, latency.between(west, west))
}
