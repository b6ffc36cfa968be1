package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/run"
)

const playTimeout = 2 * time.Minute

// binDir is where TestMain has built the programs.
var binDir string

// The lab starts real nodes, so the tests build one; the programs are then started as a user would.
func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (code int, err error) {
	if binDir, err = os.MkdirTemp("", "robinlab-test"); err != nil {
		return 1, err
	}
	defer os.RemoveAll(binDir)
	build := exec.Command("go", "build", "-o", binDir+"/", "../robincart", "../robincart-controller", ".")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1, err
	}
	return m.Run(), nil
}

// program returns the path of a built program.
func program(name string) string { return filepath.Join(binDir, name) }

// runLab runs robinlab and returns what it printed, on both streams, and its exit code.
func runLab(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	command := exec.Command(program("robinlab"), args...)
	text, err := command.CombinedOutput()
	var exited *exec.ExitError
	if err != nil && !errors.As(err, &exited) {
		require.NoError(t, err)
	}
	return string(text), command.ProcessState.ExitCode()
}

// writeExperiment writes an experiment file and returns its path.
func writeExperiment(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// played is an experiment that was played.
type played struct {
	*run.Result
	arm    *run.Arm // the only one
	notes  *bytes.Buffer
	parsed *experiment.Experiment
}

// playText plays an experiment with the built node. Patience is added to the rules' times.
func playText(t *testing.T, text string, patience time.Duration) played {
	t.Helper()
	parsed, err := experiment.Parse([]byte(text), ".")
	require.NoError(t, err)
	parsed.Fleet.Program = program("robincart")
	ctx, cancel := context.WithTimeout(t.Context(), playTimeout)
	defer cancel()
	notes := &bytes.Buffer{}
	result, err := run.Play(ctx, parsed, run.Options{
		Dir:      t.TempDir(),
		Patience: patience,
		Notes:    func(format string, args ...any) { fmt.Fprintf(notes, format+"\n", args...) },
	})
	require.NoError(t, err)
	return played{Result: result, arm: result.Arms[0], notes: notes, parsed: parsed}
}

// assertNoCrash fails if a node has ended by itself.
func (p *played) assertNoCrash(t *testing.T) {
	t.Helper()
	assert.Zero(t, p.arm.Metrics["crashes"], "%v\n%s", p.arm.Notes, p.notes)
}
