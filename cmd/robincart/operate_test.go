package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// operatedNode starts a node with an operators' address.
func operatedNode(t *testing.T, servers ...*server) (p *program, d *discovery, admin string) {
	d = newDiscovery(t)
	for i, s := range servers {
		d.Tell(listed(fmt.Sprint("s", i), s.addr(), "ready"))
	}
	c := configuration(t, d, d.all()...)
	admin = freeAddress(t)
	c["admin_addr"] = admin
	return start(t, c), d, admin
}

// calls is the status of one operator's call.
func calls(t *testing.T, admin, path, body string) int {
	t.Helper()
	r, err := (&http.Client{Timeout: 5 * time.Second}).Post("http://"+admin+path, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer r.Body.Close()
	return r.StatusCode
}

func TestAServerThatIsTakenOutGetsNothingUntilItIsCalledBack(t *testing.T) {
	a, b := newServer(t, says(200, "a")), newServer(t, says(200, "b"))
	p, d, admin := operatedNode(t, a, b)
	for range 20 {
		assert.Equal(t, 200, p.ask("find", "").status)
	}
	assert.Equal(t, 404, calls(t, admin, "/_servers/detach", `{"host":"never"}`))
	assert.Equal(t, 404, calls(t, admin, "/_servers/attach", `{"host":"never"}`))
	for range 2 {
		assert.Equal(t, 200, calls(t, admin, "/_servers/detach", `{"host":"s0"}`))
	}
	before := a.count()
	quiet := func(why string) {
		for range 30 {
			assert.Equal(t, "b", p.ask("find", "").body)
		}
		assert.Equal(t, before, a.count(), why)
	}
	quiet("right after the yes")
	watches := d.watching()
	d.Tell(listed("s0", a.addr(), "gone"))
	d.Tell(listed("s0", a.addr(), "ready"))
	require.Eventually(t, func() bool { return p.ask("find", "").status == 200 && d.watching() >= watches }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(100 * time.Millisecond) // for the list's word to arrive: it must change nothing
	quiet("whatever the list says")
	assert.Equal(t, 200, calls(t, admin, "/_servers/attach", `{"host":"s0"}`))
	assert.Eventually(t, func() bool { p.ask("find", ""); return a.count() > before }, 20*time.Second, time.Millisecond)
}

func TestANodeIsEmptiedAndWorksAgain(t *testing.T) {
	slow := newServer(t, after(300*time.Millisecond, says(200, "x")))
	p, _, admin := operatedNode(t, slow)
	ready := func() int {
		r, err := http.Get("http://" + p.addr + "/health/ready")
		require.NoError(t, err)
		r.Body.Close()
		return r.StatusCode
	}
	idle, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer idle.Close()
	io.WriteString(idle, "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n")
	buf := make([]byte, 1024)
	n, err := idle.Read(buf)
	require.NoError(t, err)
	assert.NotContains(t, strings.ToLower(string(buf[:n])), "connection: close")
	out := make(chan reply, 1)
	go func() { out <- p.ask("find", "") }()
	require.Eventually(t, func() bool { return slow.count() == 1 }, 5*time.Second, time.Millisecond)
	for range 2 {
		assert.Equal(t, 200, calls(t, admin, "/_lameduck/on", ""))
	}
	assert.Equal(t, 503, ready())
	got := <-out
	assert.Equal(t, 200, got.status, "what was taken is served")
	assert.True(t, got.closes)
	got = p.ask("find", "")
	assert.Equal(t, 200, got.status, "who comes all the same is served, too")
	assert.True(t, got.closes)
	idle.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = idle.Read(buf)
	assert.ErrorIs(t, err, io.EOF, "a connection that rests is ended")
	r, err := http.Get("http://" + admin + "/_ready")
	require.NoError(t, err)
	r.Body.Close()
	assert.Equal(t, 200, r.StatusCode, "the process itself is well")
	assert.Equal(t, 200, calls(t, admin, "/_lameduck/off", ""))
	assert.Equal(t, 200, ready())
	got = p.ask("find", "")
	assert.Equal(t, 200, got.status)
	assert.False(t, got.closes)
}

// edited is the tests' configuration with its settings changed.
func edited(t *testing.T, c map[string]any, edit func(settings map[string]any, classes []any) []any) string {
	var s map[string]any
	require.NoError(t, json.Unmarshal(c["settings"].(json.RawMessage), &s))
	s["Classes"] = edit(s, s["Classes"].([]any))
	out := map[string]any{}
	for k, v := range c {
		out[k] = v
	}
	out["settings"] = s
	text, err := json.Marshal(out)
	require.NoError(t, err)
	return string(text)
}

// What discovery had before a process began binds it from its first moment, however long the settings let it wait.
func TestTheFirstAskHasABound(t *testing.T) {
	text, err := json.Marshal(configuration(t, newDiscovery(t)))
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "c.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	c, err := readPlatformConfig(func(name string) string { return map[string]string{"EDGE_CONFIG": path}[name] })
	require.NoError(t, err)
	assert.Greater(t, c.node.MaxFirstPollDelay, 0.0)
	assert.InDelta(t, c.limits.MaxCallInterval.Seconds(), c.node.MaxFirstPollDelay, 1e-9)
}

// A file cut off anywhere changes nothing, and no key that stands in it may be missing.
func TestEveryCutOfAFileIsRefused(t *testing.T) {
	d := newDiscovery(t)
	text, err := json.Marshal(configuration(t, d))
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "c.json")
	env := func(name string) string {
		if name == "EDGE_CONFIG" {
			return path
		}
		return ""
	}
	write := func(b []byte) { require.NoError(t, os.WriteFile(path, b, 0o600)) }
	write(text)
	c, err := readPlatformConfig(env)
	require.NoError(t, err)
	moves := &moved{}
	tuned := 0
	reload := func() *platformConfig {
		now, err := c.reload(env, moves, func(*platformConfig) { tuned++ }, zap.NewNop())
		require.NoError(t, err, "a mistake is none that passes")
		return now
	}
	for n := range len(text) {
		write(text[:n])
		require.Same(t, c, reload(), "%s", text[:n])
	}
	var whole map[string]any
	require.NoError(t, json.Unmarshal(text, &whole))
	for _, in := range []map[string]any{whole, whole["settings"].(map[string]any), whole["settings"].(map[string]any)["Limits"].(map[string]any)} {
		for key, v := range in {
			delete(in, key)
			short, err := json.Marshal(whole)
			require.NoError(t, err)
			write(short)
			require.Same(t, c, reload(), "without %s", key)
			in[key] = v
		}
	}
	assert.Zero(t, tuned)
	write(text)
	assert.NotSame(t, c, reload())
	assert.Empty(t, moves.to)
}

type moved struct{ to []string }

func (m *moved) SetAddress(addr string) { m.to = append(m.to, addr) }

func TestAListenerThatIsNoneIsOnePlainMessage(t *testing.T) {
	d := newDiscovery(t)
	for _, fd := range []string{"x", "2", "999", "0"} {
		cmd, log := command(t, configuration(t, d))
		cmd.Env = append(cmd.Env, "EDGE_ACCEPT_FD="+fd)
		assert.Error(t, cmd.Run())
		assert.Contains(t, log.String(), "EDGE_ACCEPT_FD is ")
		assert.Equal(t, 1, strings.Count(log.String(), "\n"), log.String())
	}
}

func TestClassesComeAndGoUnderTrafficAndBrokenFilesChangeNothing(t *testing.T) {
	slow := newServer(t, after(200*time.Millisecond, says(200, "x")))
	d := newDiscovery(t, listed("s0", slow.addr(), "ready"))
	c := configuration(t, d, d.all()...)
	p := start(t, c)
	out := make(chan reply, 1)
	go func() { out <- p.ask("find", "") }()
	require.Eventually(t, func() bool { return slow.count() == 1 }, 5*time.Second, time.Millisecond)
	good := edited(t, c, func(_ map[string]any, all []any) []any {
		extra := map[string]any{}
		for k, v := range all[1].(map[string]any) {
			extra[k] = v
		}
		extra["Name"] = "tip"
		return append([]any{extra}, all[1:]...) // find has left
	})
	p.reload(good)
	require.Eventually(t, func() bool { return p.ask("tip", "x").status != 404 }, 10*time.Second, 5*time.Millisecond)
	assert.Equal(t, 200, (<-out).status, "what was open is served")
	assert.Equal(t, 200, p.ask("find", "").status, "callers hear of it later")
	assert.Equal(t, 200, p.askWith("tip", "x", map[string]string{"Idempotency-Key": "k"}).status)
	for i, broken := range []string{"", good[:len(good)/2], strings.Replace(good, `"Classes"`, `"Klasses"`, 1), strings.Replace(good, `"seed"`, `"sead"`, 1),
		edited(t, c, func(_ map[string]any, all []any) []any { all[0].(map[string]any)["DeadlineMs"] = 0; return all }),
		edited(t, c, func(_ map[string]any, all []any) []any { delete(all[0].(map[string]any), "AimMs"); return all }),
		edited(t, c, func(s map[string]any, all []any) []any { s["Limits"].(map[string]any)["MaxAttempts"] = 0; return all }),
		edited(t, c, func(s map[string]any, all []any) []any {
			delete(s["Limits"].(map[string]any), "MaxAttempts")
			return all
		}),
		edited(t, c, func(s map[string]any, all []any) []any { return append(all, all[0]) }),
	} {
		p.reload(broken)
		require.Eventually(t, func() bool { return strings.Count(p.Log(), "configuration rejected") == i+1 }, 10*time.Second, 5*time.Millisecond, "%.300s", broken)
		assert.Equal(t, 200, p.askWith("tip", "x", map[string]string{"Idempotency-Key": fmt.Sprint("b", i)}).status)
	}
	assert.Eventually(t, func() bool { return p.ask("find", "").status == 404 }, 10*time.Second, 50*time.Millisecond, "and is gone in the end")
}
