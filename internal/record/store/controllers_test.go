package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"robincart/internal/record/record"
)

// peer answers calls by a function that gets the connection and the call's line.
func peer(t *testing.T, answer func(c net.Conn, line string)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer c.Close()
				line, _ := bufio.NewReader(c).ReadString('\n')
				answer(c, line)
			})
		}
	})
	t.Cleanup(func() { ln.Close(); all.Wait() })
	return ln.Addr().String()
}

func metaOf(t *testing.T, within time.Duration, addrs ...string) (record.Meta, error) {
	s := DialControllers(addrs, nil)
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	return s.Meta(ctx)
}

func TestAReplicaThatSaysWhatItShouldNotIsNamed(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) }) // after what is registered later
	for says, want := range map[string]string{
		"":                                     "EOF",
		"HTTP/1.1 400 Bad\r\n":                 "no proper line",
		strings.Repeat("x", 2*mostLine) + "\n": "a line without end",
		`{"meta":{"epoch":"","revision":1}}` + "\n":                        "does not say where",
		`{"meta":{"epoch":"e","revision":-1}}` + "\n":                      "does not say where",
		`{"meta":{"epoch":"e","revision":1},"age_ms":-5}` + "\n":           "does not say where",
		`{"meta":{"epoch":"e","revision":1e99}}` + "\n":                    "no proper line",
		`{"fault":"no call named \"follow\""}` + "\n":                      "no call named", // an older program
		`{"fault":"older than the caller's","name":"behind"}` + "\n":       "older than the caller's",
		`{"fault":"nothing was read of the record yet","name":"x"}` + "\n": "nothing was read",
	} {
		addr := peer(t, func(c net.Conn, _ string) { fmt.Fprint(c, says) })
		_, err := metaOf(t, 400*time.Millisecond, addr)
		assert.ErrorContains(t, err, want, "%.60q", says)
		assert.ErrorContains(t, err, addr)
		assert.ErrorContains(t, err, "no controller tells the record")
	}
}

func TestACallToAReplicaIsBounded(t *testing.T) {
	follow := func(c net.Conn) {
		fmt.Fprintln(c, `{"meta":{"epoch":"e","revision":7},"age_ms":0}`)
		c.Read(make([]byte, 1)) // until the caller leaves
	}
	var more string
	addr := peer(t, func(c net.Conn, line string) {
		var q call
		if json.Unmarshal([]byte(line), &q); q.Op == "follow" {
			follow(c)
			return
		}
		if more == "endless" {
			fmt.Fprint(c, `{"fault":"`)
			for part := strings.Repeat("x", 1<<20); ; {
				if _, err := c.Write([]byte(part)); err != nil {
					return
				}
			}
		}
		fmt.Fprintln(c, more)
	})
	s := DialControllers([]string{addr}, nil)
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	m, err := s.Meta(ctx)
	require.NoError(t, err)
	assert.Equal(t, record.Meta{Epoch: "e", Revision: 7}, m)
	change := record.Change{Key: record.Key{Kind: record.KindDrain, Name: "s/a"}, ExpectedRevision: record.AnyRevision, IdempotencyKey: "m", Value: json.RawMessage(`{}`)}
	more = `{"meta":{"epoch":"e","revision":8}}`
	_, _, err = s.Write(ctx, "e", []record.Change{change})
	assert.ErrorContains(t, err, "0 of 1 changes")
	m, _ = s.Meta(ctx)
	assert.EqualValues(t, 8, m.Revision, "what a call's answer says of the replica's stand counts")
	more = `{"page":{"Meta":{"epoch":"e","revision":6}}}`
	_, err = s.Since(ctx, 1, 10)
	require.NoError(t, err)
	m, _ = s.Meta(ctx)
	assert.EqualValues(t, 8, m.Revision, "and never takes it back")
	more = "endless"
	s.(*through).most = 2 << 20
	_, err = s.Since(ctx, 1, 10)
	assert.ErrorContains(t, err, addr)
	assert.NoError(t, ctx.Err(), "it ended by the bound on its size")
}

// A replica cut off from the store goes on telling an old copy: it is left for one that has a newer word, and for none that has not.
func TestAReplicaWithAnOldWordIsLeftForANewerOne(t *testing.T) {
	var mu sync.Mutex
	age := map[string]int{"one": 0, "two": 60_000}
	tell := func(name string) func(net.Conn, string) {
		return func(c net.Conn, _ string) {
			for {
				mu.Lock()
				_, err := fmt.Fprintf(c, `{"meta":{"epoch":%q,"revision":7},"age_ms":%d}`+"\n", name, age[name])
				mu.Unlock()
				if err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	one, two := peer(t, tell("one")), peer(t, tell("two"))
	s := DialControllers([]string{one, two}, nil)
	defer s.Close()
	at := func() string { m, _ := s.Meta(t.Context()); return m.Epoch }
	require.Equal(t, "one", at())
	set := func(a, b int) { mu.Lock(); age["one"], age["two"] = a, b; mu.Unlock() }
	set(20_000, 60_000)
	require.Eventually(t, func() bool { return s.(*through).Age() > 15*time.Second }, 20*time.Second, time.Millisecond)
	for range 20 { // it looks at the other all the time, and stays
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, "one", at())
	}
	set(20_000, 100)
	require.Eventually(t, func() bool { return at() == "two" }, 20*time.Second, time.Millisecond)
	assert.Less(t, s.(*through).Age(), 15*time.Second)
}

func TestControllersAreRead(t *testing.T) {
	addrs, is, err := ParseControllers("controllers:10.0.0.5:8600,10.0.1.5:8600")
	assert.Equal(t, []string{"10.0.0.5:8600", "10.0.1.5:8600"}, addrs)
	assert.True(t, is)
	assert.NoError(t, err)
	_, is, err = ParseControllers("postgres://a@b/c")
	assert.False(t, is)
	assert.NoError(t, err)
	for text, want := range map[string]string{"": `"" is no address`, "10.0.0.5": "is no address", ":8600": "is no address", "a:1,a:1": "stands twice",
		"a:1,": "is no address", "a:1" + strings.Repeat(",b:1", 8): "more than 8"} {
		_, is, err := ParseControllers("controllers:" + text)
		assert.True(t, is)
		assert.ErrorContains(t, err, want, text)
	}
}

// shelf is a store that answers from memory; what it is not asked here it does not have.
type shelf struct {
	Store
	waits chan struct{}
}

func (s *shelf) Meta(context.Context) (record.Meta, error) {
	return record.Meta{Epoch: "e", Revision: 3}, nil
}
func (s *shelf) Since(_ context.Context, after int64, most int) (record.Page, error) {
	return record.Page{Meta: record.Meta{Epoch: "e", Revision: after}, Entries: make([]record.Entry, 0, most)}, nil
}
func (s *shelf) Wait(ctx context.Context, _ time.Duration) error {
	close(s.waits)
	<-ctx.Done()
	return ctx.Err()
}

// Who calls may mean no good: too many, too long, too slow, or for what is not answered there. A node's own helper, an older program or a newer one, answers as it did.
func TestWhoCallsIsBounded(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) }) // after what is registered later
	serve := func(network, addr string, b *ServerLimits) net.Listener {
		ln, err := net.Listen(network, addr)
		require.NoError(t, err)
		ctx, end := context.WithCancel(t.Context())
		var all sync.WaitGroup
		s := &shelf{waits: make(chan struct{})}
		all.Go(func() {
			if b == nil {
				Serve(ctx, ln, s)
			} else {
				ServeWithLimits(ctx, ln, s, *b)
			}
		})
		t.Cleanup(func() { end(); all.Wait() })
		return ln
	}
	ln := serve("tcp", "127.0.0.1:0", &ServerLimits{MaxClients: 2, MaxCallBytes: 100, CallTimeout: 200 * time.Millisecond, WriteTimeout: time.Second, AllowedCalls: []string{"since"}})
	ask := func(text string) string {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		c.Write([]byte(text))
		line, _ := bufio.NewReader(c).ReadString('\n')
		return line
	}
	assert.Contains(t, ask(`{"op":"meta","left":1000000000}`+"\n"), `no call named \"meta\" here`)
	assert.Contains(t, ask(`{"op":"follow","left":1000000000}`+"\n"), `no call named \"follow\" here`)
	assert.Contains(t, ask(`{"op":"since","after":7,"left":1000000000}`+"\n"), `"revision":7`)
	assert.Contains(t, ask(`{"op":"`+strings.Repeat("x", 200)+"\n"), "no proper call")
	assert.Contains(t, ask("\n"), "no proper call")
	begun := time.Now()
	ask(`{"op":"si`) // and no more
	assert.Less(t, time.Since(begun), 5*time.Second)
	var idle []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		idle = append(idle, c)
	}
	require.Eventually(t, func() bool { // both are taken in: the third is turned away at once
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		begun := time.Now()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = c.Read(make([]byte, 1))
		return !errors.Is(err, context.DeadlineExceeded) && time.Since(begun) < 150*time.Millisecond
	}, 20*time.Second, time.Millisecond)
	for _, c := range idle {
		c.Close()
	}

	path := filepath.Join(t.TempDir(), "s")
	serve("unix", path, nil)
	m, err := Remote(path).Meta(t.Context())
	require.NoError(t, err)
	assert.EqualValues(t, 3, m.Revision)
	c, err := net.Dial("unix", path) // it knows no follow, and where the caller stands is nothing to it
	require.NoError(t, err)
	fmt.Fprintln(c, `{"op":"follow","at":{"epoch":"x","revision":9},"left":1000000000}`)
	line, _ := bufio.NewReader(c).ReadString('\n')
	assert.Contains(t, line, `no call named \"follow\"`)
	c.Close()
}
