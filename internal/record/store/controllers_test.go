package store

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"robincart/internal/record/record"
)

const (
	eventTimeout = 20 * time.Second
	eventPoll    = time.Millisecond
)

// verifyNoLeaks fails the test if a goroutine that the test started still runs after all cleanups that are registered
// after this call.
func verifyNoLeaks(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
}

// startPeer starts a server that calls answer with each connection and its request line. It returns the server's
// address.
func startPeer(t *testing.T, answer func(connection net.Conn, line string)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var handlers sync.WaitGroup
	handlers.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			handlers.Go(func() {
				defer connection.Close()
				line, _ := bufio.NewReader(connection).ReadString('\n')
				answer(connection, line)
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		handlers.Wait()
	})
	return listener.Addr().String()
}

func dialControllers(t *testing.T, addresses ...string) *controllersClient {
	client := DialControllers(addresses, nil)
	t.Cleanup(func() { client.Close() })
	return client.(*controllersClient)
}

func TestControllersClient_InvalidPosition(t *testing.T) {
	verifyNoLeaks(t)
	for name, test := range map[string]struct{ line, want string }{
		"connection closed":  {"", "EOF"},
		"another protocol":   {"HTTP/1.1 400 Bad\r\n", "invalid line"},
		"line too long":      {strings.Repeat("x", 2*maxLineSize) + "\n", "a line is longer than 4096 bytes"},
		"no epoch":           {`{"meta":{"epoch":"","revision":1}}` + "\n", "has no position"},
		"negative revision":  {`{"meta":{"epoch":"e","revision":-1}}` + "\n", "has no position"},
		"negative age":       {`{"meta":{"epoch":"e","revision":1},"age_ms":-5}` + "\n", "has no position"},
		"revision too large": {`{"meta":{"epoch":"e","revision":1e99}}` + "\n", "invalid line"},
		"older program":      {`{"fault":"no call named \"follow\""}` + "\n", "no call named"},
		"behind":             {`{"fault":"older than the caller's","name":"behind"}` + "\n", "older than the caller's"},
		"not read":           {`{"fault":"nothing was read of the record yet","name":"x"}` + "\n", "nothing was read"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startPeer(t, func(connection net.Conn, _ string) { fmt.Fprint(connection, test.line) })
			client := dialControllers(t, address)
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			defer cancel()
			_, err := client.Meta(ctx)
			assert.ErrorContains(t, err, test.want)
			assert.ErrorContains(t, err, address)
			assert.ErrorContains(t, err, "no controller serves the record")
		})
	}
}

// answeringPeer is a replica that sends watchers the position of epoch e and revision 7. It answers all other calls
// with the line answer.
type answeringPeer struct {
	mu      sync.Mutex
	answer  string
	endless bool // the answer never ends
}

func (p *answeringPeer) set(answer string, endless bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer = answer
	p.endless = endless
}

func (p *answeringPeer) handle(connection net.Conn, line string) {
	var call request
	json.Unmarshal([]byte(line), &call)
	if call.Op == opFollow {
		fmt.Fprintln(connection, `{"meta":{"epoch":"e","revision":7},"age_ms":0}`)
		connection.Read(make([]byte, 1)) // until the client disconnects
		return
	}
	p.mu.Lock()
	answer, endless := p.answer, p.endless
	p.mu.Unlock()
	fmt.Fprintln(connection, answer)
	for endless {
		_, err := fmt.Fprint(connection, strings.Repeat("x", 1<<20))
		endless = err == nil
	}
}

func TestControllersClient_Calls(t *testing.T) {
	replica := &answeringPeer{}
	address := startPeer(t, replica.handle)
	client := dialControllers(t, address)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	meta, err := client.Meta(ctx)
	require.NoError(t, err)
	assert.Equal(t, record.Meta{Epoch: "e", Revision: 7}, meta)

	t.Run("too few entries", func(t *testing.T) {
		replica.set(`{"meta":{"epoch":"e","revision":8}}`, false)
		_, _, err := client.Write(ctx, "e", []record.Change{{
			Key:              record.Key{Kind: record.KindDrain, Name: "s/a"},
			ExpectedRevision: record.AnyRevision,
			IdempotencyKey:   "m",
			Value:            json.RawMessage(`{}`),
		}})
		assert.ErrorContains(t, err, "0 of 1 changes")
		meta, _ := client.Meta(ctx)
		assert.EqualValues(t, 8, meta.Revision, "an answer advances the replica's position")
	})
	t.Run("older position", func(t *testing.T) {
		replica.set(`{"page":{"Meta":{"epoch":"e","revision":6}}}`, false)
		_, err := client.Since(ctx, 1, 10)
		require.NoError(t, err)
		meta, _ := client.Meta(ctx)
		assert.EqualValues(t, 8, meta.Revision, "an answer never lowers the position")
	})
	t.Run("endless answer", func(t *testing.T) {
		replica.set(`{"fault":"`, true)
		client.maxResponseSize = 2 << 20
		_, err := client.Since(ctx, 1, 10)
		assert.ErrorContains(t, err, address)
		assert.NoError(t, ctx.Err(), "the limit of the response's size ended the call, not its deadline")
	})
}

// agingPeers are replicas that send their positions continuously. Each replica uses its name as the epoch.
type agingPeers struct {
	mu        sync.Mutex
	ageMillis map[string]int // age of a replica's position, by the replica's name
}

func (p *agingPeers) setAges(first, second int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ageMillis = map[string]int{"first": first, "second": second}
}

func (p *agingPeers) start(t *testing.T, name string) string {
	return startPeer(t, func(connection net.Conn, _ string) {
		for {
			p.mu.Lock()
			age := p.ageMillis[name]
			p.mu.Unlock()
			_, err := fmt.Fprintf(connection, `{"meta":{"epoch":%q,"revision":7},"age_ms":%d}`+"\n", name, age)
			if err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// A replica that can't reach the store any more continues to send an old position. The client changes to another
// replica only if the store has confirmed the other replica's position more recently.
func TestControllersClient_PrefersFresherReplica(t *testing.T) {
	peers := &agingPeers{}
	peers.setAges(0, 60_000)
	client := dialControllers(t, peers.start(t, "first"), peers.start(t, "second"))
	watched := func() string {
		meta, _ := client.Meta(t.Context())
		return meta.Epoch
	}
	require.Equal(t, "first", watched())

	peers.setAges(20_000, 60_000)
	require.Eventually(t, func() bool { return client.Age() > 15*time.Second }, eventTimeout, eventPoll)
	for range 20 { // the client probes the second replica and stays with the first
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, "first", watched())
	}

	peers.setAges(20_000, 100)
	require.Eventually(t, func() bool { return watched() == "second" }, eventTimeout, eventPoll)
	assert.Less(t, client.Age(), 15*time.Second)
}

func TestParseControllers(t *testing.T) {
	t.Run("controllers", func(t *testing.T) {
		addresses, ok, err := ParseControllers("controllers:10.0.0.5:8600,10.0.1.5:8600")
		assert.Equal(t, []string{"10.0.0.5:8600", "10.0.1.5:8600"}, addresses)
		assert.True(t, ok)
		assert.NoError(t, err)
	})
	t.Run("another store", func(t *testing.T) {
		_, ok, err := ParseControllers("postgres://a@b/c")
		assert.False(t, ok)
		assert.NoError(t, err)
	})
	for list, want := range map[string]string{
		"":                                `"" is no address`,
		"10.0.0.5":                        "is no address",
		":8600":                           "is no address",
		"a:1,a:1":                         "listed twice",
		"a:1,":                            "is no address",
		"a:1" + strings.Repeat(",b:1", 8): "more than 8",
	} {
		t.Run(fmt.Sprintf("invalid %q", list), func(t *testing.T) {
			_, ok, err := ParseControllers("controllers:" + list)
			assert.True(t, ok)
			assert.ErrorContains(t, err, want)
		})
	}
}
