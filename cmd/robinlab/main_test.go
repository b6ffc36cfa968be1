package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/chaos"
	"robincart/internal/lab/experiment"
	"robincart/internal/lab/run"
	"robincart/internal/lab/trace"
)

var bins string

// The lab starts real nodes, so the tests build one; both programs are then started as a user would.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "robinlab-test")
	if err == nil {
		bins = dir
		build := exec.Command("go", "build", "-o", dir+"/", "../robincart", "../robincart-controller", ".")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// everything has each kind of fault in it, in two tiers and two zones. What it expects are counts and rules with
// generous times: a verdict must not hang on the machine's speed.
const everything = `
name = "everything"
duration = "9s"
[fleet]
nodes = 2
zones = ["a", "b"]
[[fleet.tier]]
servers = 4
cores = 4
part = 0.5
calls = 1
cold_from = 0.5
cold_for = "2s"
[[fleet.tier]]
servers = 4
cores = 4
part = 0.5
cancels = true
per_connection = 50
[[method]]
name = "find-table"
share = 0.5
target = "2s"
deadline = "4s"
work_ms = 4
[[method]]
name = "book-table"
share = 0.3
repeat = "deduplicated"
window = "30s"
target = "2s"
deadline = "4s"
utility = 5
work_ms = 4
body = 300
[[method]]
name = "charge"
share = 0.2
repeat = "non-idempotent"
target = "2s"
deadline = "4s"
work_ms = 4
body = 20000
[[load]]
rate = 60
[callers]
share = 1
tries = 2
backoff = "100ms"
honour = 0.5
marks = true
`

func faults() string {
	var b strings.Builder
	at := 400
	for _, x := range []string{"freeze tier:2/server:0", "slow tier:2/zone:a", "silent server:1", "fail tier:2/servers:0.5", "reset-before server:0",
		"reset-after tier:2/server:1", "die-mid server:2", "spoil server:3", "refuse tier:2/server:2", "drain server:0", "restart server:1",
		"restart tier:2/server:3", "gone tier:2/discovery", "late discovery", "replay discovery", "roll tier:2/servers:0.5", "kill node:0", "reload nodes",
		"stop node:1"} {
		kind, on, _ := strings.Cut(x, " ")
		fmt.Fprintf(&b, "[[fault]]\nkind = %q\non = %q\nat = \"%dms\"\nfor = \"500ms\"\n", kind, on, at)
		if kind == "late" {
			b.WriteString("by = \"200ms\"\n")
		}
		if kind == "roll" {
			b.WriteString("new_id = true\n")
		}
		at += 400
	}
	return b.String()
}

func TestEveryFaultOverRealNodesBreaksNoRule(t *testing.T) {
	t.Parallel()
	e, err := experiment.Parse([]byte(everything+faults()), ".")
	require.NoError(t, err)
	e.Fleet.Program = filepath.Join(bins, "robincart")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var notes bytes.Buffer
	r, err := run.Play(ctx, e, run.Options{Dir: t.TempDir(), Patience: 10 * time.Second, Notes: func(f string, a ...any) { fmt.Fprintf(&notes, f+"\n", a...) }})
	require.NoError(t, err)
	arm := r.Arms[0]
	assert.Empty(t, arm.Broken, "%s", &notes)
	assert.Zero(t, arm.Metrics["crashes"], "%v", arm.Notes)
	assert.Zero(t, arm.Metrics["unsent"])
	plan, err := e.Plan()
	require.NoError(t, err)
	assert.EqualValues(t, len(plan), arm.Metrics["calls"], "each planned call is in the ledger")
	assert.Greater(t, arm.Ends["ok"], len(plan)/2, "%v\n%s", arm.Ends, &notes)
	assert.Len(t, r.Faults, 19)
}

func lab(t *testing.T, args ...string) (out string, code int) {
	cmd := exec.Command(filepath.Join(bins, "robinlab"), args...)
	text, err := cmd.CombinedOutput()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		require.NoError(t, err)
	}
	return string(text), cmd.ProcessState.ExitCode()
}

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "x.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const small = `
name = "small"
duration = "1s"
[[fleet.tier]]
servers = 2
[[method]]
name = "find-table"
share = 1
target = "5s"
deadline = "10s"
[[load]]
rate = 40
even = true
[expect]
calls = { min = 40 }
`

func TestExitCodesTellPassedFailedAndBadInput(t *testing.T) {
	t.Parallel()
	out, code := lab(t, "run", "--quiet", "--out", t.TempDir(), write(t, small))
	assert.Equal(t, 0, code, out)
	assert.Contains(t, out, "\npassed\n")
	out, code = lab(t, "run", "--quiet", "--out", t.TempDir(), write(t, strings.Replace(small, "min = 40", "min = 41", 1)))
	assert.Equal(t, 1, code, out)
	assert.Contains(t, out, "FAILED calls = 40, expected at least 41")

	runs := t.TempDir()
	bad := map[string][]string{
		"unknown key": {"run", "--out", runs, write(t, "speed = 1\n"+small)},
		"rate below 0": {"run", "--out", runs, write(t, strings.Replace(small, "rate = 40", "rate = -40", 1)), // the good one is not started either
			write(t, small)},
		"no node program": {"run", "--out", runs, "--node", "/nowhere", write(t, small)},
		"no such file":    {"check", "/nowhere/x.toml"},
		"scale":           {"run", "--out", runs, "--scale", "1000", write(t, small)},
		"unknown command": {"fly"},
		"line 2: method":  {"check", write(t, strings.Replace(small, "rate = 40\neven = true", `trace = "`+traceOf(t)+`"`, 1))},
	}
	for says, args := range bad {
		out, code := lab(t, args...)
		assert.Equal(t, 2, code, out)
		assert.Contains(t, out, says)
		assert.LessOrEqual(t, strings.Count(out, "\n"), 3, "one plain message: %s", out)
	}
	started, err := os.ReadDir(runs)
	assert.NoError(t, err)
	assert.Empty(t, started, "nothing was started")
}

func traceOf(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "bad.jsonl")
	require.NoError(t, os.WriteFile(path, []byte(`{"at_us":1,"method":"find-table"}`+"\n"+`{"at_us":2,"method":"fly"}`), 0o600))
	return path
}

// A generator that runs out of descriptors says so. Its figures are of itself and must not be used. Its callers go straight to the servers: a
// node that has the same limit keeps to it, and turns away so many that the generator's callers need fewer descriptors than it has.
func TestARunShortOfDescriptorsIsInvalid(t *testing.T) {
	t.Parallel()
	file := write(t, strings.Replace(strings.Replace(small, "rate = 40", "rate = 200", 1), `share = 1`, "share = 1\nwait_ms = 2000", 1))
	cmd := exec.Command("sh", "-c", `ulimit -n 64; exec "$@"`, "sh", filepath.Join(bins, "robinlab"), "run", "--quiet", "--arms", "random", "--out", t.TempDir(), file)
	text, _ := cmd.CombinedOutput()
	assert.Equal(t, 1, cmd.ProcessState.ExitCode(), "%s", text)
	assert.Contains(t, string(text), "out of descriptors")
	assert.Contains(t, string(text), "INVALID")
}

// What was played can be played again as a trace, with the same requests at the same times.
func TestARunIsExportedAndPlayedAgain(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	out, code := lab(t, "run", "--quiet", "--out", dir, "--export", filepath.Join(dir, "x.csv"), write(t, small))
	require.Equal(t, 0, code, out)
	f, err := os.Open(filepath.Join(dir, "x.csv"))
	require.NoError(t, err)
	defer f.Close()
	plan, err := trace.Read(f, trace.Names{Methods: []string{"find-table"}, Tenants: []string{"acme"}})
	require.NoError(t, err)
	require.Len(t, plan, 40)
	assert.Equal(t, 25*time.Millisecond*39, plan[39].At)
	again := filepath.Join(dir, "again.toml")
	require.NoError(t, os.WriteFile(again, []byte(strings.Replace(small, "rate = 40\neven = true", "trace = \"x.csv\"\npace = 2", 1)), 0o600))
	out, code = lab(t, "run", "--quiet", "--out", dir, again)
	assert.Equal(t, 0, code, out)
}

// Interrupted, it reports what was played and leaves no process behind.
func TestAnInterruptedRunIsReportedAndEndsItsChildren(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	cmd := exec.Command(filepath.Join(bins, "robinlab"), "run", "--out", dir,
		write(t, strings.Replace(strings.Replace(small, `"1s"`, `"60s"`, 1), "calls =", "goodput =", 1)))
	var out bytes.Buffer
	cmd.Stdout = &out
	progress, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	seen := make([]byte, 1<<16)
	for text := ""; !strings.Contains(text, "sent"); {
		n, err := progress.Read(seen)
		require.NoError(t, err)
		text += string(seen[:n])
	}
	require.NoError(t, cmd.Process.Signal(syscall.SIGINT))
	go func() {
		for b := make([]byte, 4096); ; {
			if _, err := progress.Read(b); err != nil {
				return
			}
		}
	}()
	err = cmd.Wait()
	assert.Error(t, err)
	assert.Equal(t, 1, cmd.ProcessState.ExitCode())
	assert.Contains(t, out.String(), "INTERRUPTED")
	results, _ := filepath.Glob(filepath.Join(dir, "*", "result.json"))
	require.Len(t, results, 1)
	r, err := run.Load(results[0])
	require.NoError(t, err)
	assert.True(t, r.Cut)
	assert.Greater(t, r.Arms[0].Metrics["calls"], 0.0)
	assert.Less(t, r.Arms[0].Metrics["calls"], 2400.0)
	logs, _ := filepath.Glob(filepath.Join(filepath.Dir(results[0]), "robincart", "*.log"))
	require.NotEmpty(t, logs)
	text, _ := os.ReadFile(logs[0])
	assert.Contains(t, string(text), `"stopped"`, "the node was ended, not left")
}

// The cluster manager's word through replicas that die, over watches that break, to real nodes that speak to them by keys.
func TestNoDrainedServerIsCalledOnWhateverTheAPIDoes(t *testing.T) {
	t.Parallel()
	r := &chaos.Controller{Program: filepath.Join(bins, "robincart-controller"), Node: filepath.Join(bins, "robincart"), Drains: 160, Pace: 25, Servers: 60, Replicas: 2, Nodes: 1,
		Rate: 50, Seed: time.Now().UnixNano() % 1_000_000, Faults: true, Keys: true, Slack: 2 * time.Second}
	require.NoError(t, r.Play(t.Context()))
	assert.Empty(t, r.Broken, "seed %d", r.Seed)
	assert.Greater(t, r.Calls, 100)
	assert.GreaterOrEqual(t, r.Counts["drains"], 160)
}

// Several files in one run: each is read with its own short arms, not with those of the one before.
func TestEachFileOfARunKeepsItsOwnArms(t *testing.T) {
	node := filepath.Join(bins, "robincart")
	s := &shape{short: true, scale: 1, node: node}
	for _, file := range []string{"flooded-neighbour", "zone-lost", "flooded-neighbour"} {
		path := "../../experiments/" + file + ".toml"
		e, err := s.read(path)
		require.NoError(t, err)
		alone, err := (&shape{short: true, scale: 1, node: node}).read(path)
		require.NoError(t, err)
		assert.Equal(t, alone.Arms, e.Arms, file)
	}
	s.arms = []string{"robincart"}
	e, err := s.read("../../experiments/zone-lost.toml")
	require.NoError(t, err)
	assert.Equal(t, s.arms, e.Arms)
}

// HTTP and FastCGI on either side, with servers that die in their answers.
func TestEveryPairOfProtocolsGivesOneAnswerAndNoEffectTwice(t *testing.T) {
	t.Parallel()
	r := &chaos.Pairs{Program: filepath.Join(bins, "robincart"), Requests: 1500, Calm: 300, Callers: 8, Seed: time.Now().UnixNano() % 1_000_000}
	require.NoError(t, r.Play(t.Context()))
	assert.Empty(t, r.Broken, "seed %d", r.Seed)
	require.Len(t, r.All, 4)
	for _, p := range r.All {
		answers, faults := 0, 0
		for _, n := range p.Answers {
			answers += n
		}
		for _, n := range p.Faults {
			faults += n
		}
		assert.Equal(t, 1500, answers, "%s in, %s out", p.In, p.Out)
		assert.Positive(t, faults)
	}
}
