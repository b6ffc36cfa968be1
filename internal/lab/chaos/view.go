package chaos

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"robincart/internal/lab/apiserver"
	"robincart/internal/lab/standin"
)

// View measures how long a controller takes to its full view, from nothing and after a restart that all its nodes notice in
// the same moment, and what that costs.
type View struct {
	Program  string // the controller's
	Servers  int
	Watchers int // nodes, each of which asks for the list again as soon as its watch has ended

	First      time.Duration // from the start to the first whole list
	Half, Last time.Duration // from the restart until half of the watchers, and all, have the whole list
	Idle, Most int64         // resident bytes of the controller with all watchers there, and at most
	CPU        time.Duration // of the controller, from its restart to the last list
	Wholes     int           // bytes of one whole list
}

// Play measures.
func (v *View) Play(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "view")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	api, err := apiserver.Start("127.0.0.1:0", nil)
	if err != nil {
		return err
	}
	defer api.Stop()
	cluster := &apiserver.Cluster{API: api, Service: "s", Port: 80, PerSlice: 100, Rand: rand.New(rand.NewSource(1)),
		Address: func(n int) string { return fmt.Sprintf("10.%d.%d.%d", n/62500, n/250%250, n%250+1) }}
	cluster.Scale(v.Servers)
	x := &replica{name: "c", file: filepath.Join(dir, "c.toml")}
	for _, to := range []*string{&x.list, &x.status} {
		if *to, err = standin.FreeAddress("127.0.0.1"); err != nil {
			return err
		}
	}
	if err := os.WriteFile(x.file, fmt.Appendf(nil, "identity = \"c\"\n[api]\nserver = \"http://%s\"\n[leader]\nhold = \"3s\"\n[fanout]\nwatchers = %d\n[[service]]\nname = \"s\"\nlisten = %q\n",
		api.Addr(), v.Watchers+100, x.list), 0o600); err != nil {
		return err
	}
	defer x.kill()
	begun := time.Now()
	if err := x.start(v.Program); err != nil {
		return err
	}
	life, end := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer end()
	told := make(chan int, 2*v.Watchers+2)
	watch := func() { // as nodes do, but without their pauses: all come back in the same moment
		for life.Err() == nil {
			if n, err := follow(life, x.list, told); err != nil || n == 0 {
				select {
				case <-life.Done():
				case <-time.After(20 * time.Millisecond):
				}
			}
		}
	}
	all.Go(watch)
	await := func(n int) ([]time.Time, error) {
		var at []time.Time
		for limit := time.After(2 * time.Minute); len(at) < n; {
			select {
			case v.Wholes = <-told:
				at = append(at, time.Now())
			case <-limit:
				text, _ := os.ReadFile(x.file + ".log")
				return nil, fmt.Errorf("%d of %d watchers have a whole list: %s", len(at), n, text[max(0, len(text)-2000):])
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return at, nil
	}
	at, err := await(1)
	if err != nil {
		return err
	}
	v.First = at[0].Sub(begun)
	for range v.Watchers - 1 {
		all.Go(watch)
	}
	if _, err := await(v.Watchers - 1); err != nil {
		return err
	}
	time.Sleep(time.Second)
	v.Idle = standin.ReadProcessUsage(x.cmd.Process.Pid).Resident
	x.kill()
	begun = time.Now()
	if err := x.start(v.Program); err != nil {
		return err
	}
	if at, err = await(v.Watchers); err != nil {
		return err
	}
	slices.SortFunc(at, time.Time.Compare)
	v.Half, v.Last = at[len(at)/2].Sub(begun), at[len(at)-1].Sub(begun)
	usage := standin.ReadProcessUsage(x.cmd.Process.Pid)
	v.CPU, v.Most = usage.CPU, usage.MaxResident
	return nil
}

// follow is one watch: it tells how long the whole list was, and returns when the watch ends.
func follow(ctx context.Context, addr string, told chan<- int) (int, error) {
	c, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	fmt.Fprintf(c, "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: a\r\n\r\n")
	r := bufio.NewReaderSize(c, 4096)
	line, err := r.ReadString('\n')
	if err != nil || len(line) < 12 || line[9:12] != "200" {
		return 0, fmt.Errorf("%.40q: %w", line, io.ErrUnexpectedEOF)
	}
	n := 0
	for want := []byte("]}\n"); ; { // the end of a list, however it is cut into chunks
		b, err := r.ReadByte()
		if err != nil {
			return 0, err
		}
		if n++; b == want[0] {
			if want = want[1:]; len(want) == 0 {
				break
			}
		} else {
			want = []byte("]}\n")
		}
	}
	select {
	case told <- n:
	default:
	}
	_, err = io.Copy(io.Discard, r)
	return n, err
}
