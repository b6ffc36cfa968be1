package main

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/run"
	"robincart/internal/lab/trace"
)

// smallExperiment makes 40 calls in a second, evenly spaced.
const smallExperiment = `
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

// with returns the small experiment with one of its lines changed.
func with(line, changed string) string { return strings.Replace(smallExperiment, line, changed, 1) }

func TestRun_ExitCode(t *testing.T) {
	t.Parallel()
	out, code := runLab(t, "run", "--quiet", "--out", t.TempDir(), writeExperiment(t, smallExperiment))
	assert.Equal(t, 0, code, out)
	assert.Contains(t, out, "\npassed\n")
	out, code = runLab(t, "run", "--quiet", "--out", t.TempDir(), writeExperiment(t, with("min = 40", "min = 41")))
	assert.Equal(t, exitFailed, code, out)
	assert.Contains(t, out, "FAILED calls = 40, expected at least 41")
}

func TestRun_BadInput(t *testing.T) {
	t.Parallel()
	runs := t.TempDir()
	badTrace := filepath.Join(t.TempDir(), "bad.jsonl")
	lines := `{"at_us":1,"method":"find-table"}` + "\n" + `{"at_us":2,"method":"fly"}`
	require.NoError(t, os.WriteFile(badTrace, []byte(lines), 0o600))
	good := writeExperiment(t, smallExperiment)
	for name, c := range map[string]struct {
		message string
		args    []string
	}{
		"unknown key": {"unknown key", []string{"run", "--out", runs, writeExperiment(t, "speed = 1\n"+smallExperiment)}},
		// The good one is not started either.
		"negative rate":   {"rate below 0", []string{"run", "--out", runs, writeExperiment(t, with("rate = 40", "rate = -40")), good}},
		"no program":      {"no node program", []string{"run", "--out", runs, "--node", "/nowhere", good}},
		"no file":         {"no such file", []string{"check", "/nowhere/x.toml"}},
		"scale":           {"scale", []string{"run", "--out", runs, "--scale", "1000", good}},
		"unknown command": {"unknown command", []string{"fly"}},
		"bad trace":       {"line 2: method", []string{"check", writeExperiment(t, with("rate = 40\neven = true", `trace = "`+badTrace+`"`))}},
	} {
		t.Run(name, func(t *testing.T) {
			out, code := runLab(t, c.args...)
			assert.Equal(t, exitError, code, out)
			assert.Contains(t, out, c.message)
			assert.LessOrEqual(t, strings.Count(out, "\n"), 3, "one plain message: %s", out)
		})
	}
	started, err := os.ReadDir(runs)
	assert.NoError(t, err)
	assert.Empty(t, started, "nothing was started")
}

// A generator that runs out of descriptors reports it: its figures are of itself and must not be used. Its callers send
// directly to the servers: a node that has the same limit keeps to it, and rejects so many that the generator's callers
// need fewer descriptors than it has.
func TestRun_OutOfDescriptors(t *testing.T) {
	t.Parallel()
	text := strings.Replace(with("rate = 40", "rate = 200"), "share = 1", "share = 1\nwait_ms = 2000", 1)
	command := exec.Command("sh", "-c", `ulimit -n 64; exec "$@"`, "sh", program("robinlab"),
		"run", "--quiet", "--arms", "random", "--out", t.TempDir(), writeExperiment(t, text))
	out, _ := command.CombinedOutput()
	assert.Equal(t, exitFailed, command.ProcessState.ExitCode(), "%s", out)
	assert.Contains(t, string(out), "out of descriptors")
	assert.Contains(t, string(out), "INVALID")
}

// What was played can be played again as a trace, with the same requests at the same times.
func TestRun_ExportedTraceIsPlayed(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	exported := filepath.Join(dir, "x.csv")
	out, code := runLab(t, "run", "--quiet", "--out", dir, "--export", exported, writeExperiment(t, smallExperiment))
	require.Equal(t, 0, code, out)
	file, err := os.Open(exported)
	require.NoError(t, err)
	t.Cleanup(func() { file.Close() })
	arrivals, err := trace.Read(file, trace.Names{Methods: []string{"find-table"}, Tenants: []string{"acme"}})
	require.NoError(t, err)
	require.Len(t, arrivals, 40)
	assert.Equal(t, 25*time.Millisecond*39, arrivals[39].At)
	again := filepath.Join(dir, "again.toml")
	text := with("rate = 40\neven = true", "trace = \"x.csv\"\npace = 2")
	require.NoError(t, os.WriteFile(again, []byte(text), 0o600))
	out, code = runLab(t, "run", "--quiet", "--out", dir, again)
	assert.Equal(t, 0, code, out)
}

// An interrupted run reports what was played and leaves no process behind.
func TestRun_Interrupted(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	text := strings.Replace(with(`"1s"`, `"60s"`), "calls =", "goodput =", 1)
	command := exec.Command(program("robinlab"), "run", "--out", dir, writeExperiment(t, text))
	var out bytes.Buffer
	command.Stdout = &out
	progress, err := command.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	awaitText(t, progress, "sent")
	require.NoError(t, command.Process.Signal(syscall.SIGINT))
	io.Copy(io.Discard, progress)
	assert.Error(t, command.Wait())
	assert.Equal(t, exitFailed, command.ProcessState.ExitCode())
	assert.Contains(t, out.String(), "INTERRUPTED")
	results, err := filepath.Glob(filepath.Join(dir, "*", "result.json"))
	require.NoError(t, err)
	require.Len(t, results, 1)
	result, err := run.Load(results[0])
	require.NoError(t, err)
	assert.True(t, result.Interrupted)
	assert.Greater(t, result.Arms[0].Metrics["calls"], 0.0)
	assert.Less(t, result.Arms[0].Metrics["calls"], 2400.0)
	logs, err := filepath.Glob(filepath.Join(filepath.Dir(results[0]), "robincart", "*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	log, err := os.ReadFile(logs[0])
	require.NoError(t, err)
	assert.Contains(t, string(log), `"stopped"`, "the node was ended, not left")
}

// awaitText reads until the text has come.
func awaitText(t *testing.T, from io.Reader, text string) {
	t.Helper()
	buffer := make([]byte, 1<<16)
	for seen := ""; !strings.Contains(seen, text); {
		n, err := from.Read(buffer)
		require.NoError(t, err)
		seen += string(buffer[:n])
	}
}

// Of several files in one run, each is read with its own short arms, not with those of the one before.
func TestExperimentFlags_ArmsOfEachFile(t *testing.T) {
	newFlags := func() *experimentFlags {
		return &experimentFlags{short: true, scale: 1, node: program("robincart")}
	}
	flags := newFlags()
	for _, file := range []string{"flooded-neighbour", "zone-lost", "flooded-neighbour"} {
		path := "../../experiments/" + file + ".toml"
		together, err := flags.read(path)
		require.NoError(t, err)
		alone, err := newFlags().read(path)
		require.NoError(t, err)
		assert.Equal(t, alone.Arms, together.Arms, file)
	}
	flags.arms = []string{"robincart"}
	read, err := flags.read("../../experiments/zone-lost.toml")
	require.NoError(t, err)
	assert.Equal(t, flags.arms, read.Arms)
}
