package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

const (
	// storeProgramName is the name of the program that has the database drivers, in this program's directory. If the
	// drivers were linked into this program, they would cost every node 4 MB.
	storeProgramName = "robincart-record"
	// storeDialAttempts and storeDialPause limit the wait for the program's socket, to 4 s.
	storeDialAttempts = 400
	storeDialPause    = 10 * time.Millisecond
	// minRestartPause and maxRestartPause are the bounds of the random pause before the program is restarted.
	minRestartPause = 200 * time.Millisecond
	maxRestartPause = 1000 * time.Millisecond
	// maxStderrBytes is how many of the last bytes of the program's standard error are logged.
	maxStderrBytes = 500
)

// findStoreProgram returns the path of the store program: ROBINCART_RECORD if it is set, or else storeProgramName in
// this program's directory. It is an error if the file does not exist.
func findStoreProgram() (string, error) {
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(executable), storeProgramName)
	if override := os.Getenv("ROBINCART_RECORD"); override != "" {
		path = override
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("store program %s: expected in this program's directory or at ROBINCART_RECORD: %w",
			storeProgramName, err)
	}
	return path, nil
}

// storeProgram is a store that is accessed through the store program, which runs as long as the store is open.
type storeProgram struct {
	store.Store
	path       string // of the program
	address    string // of the store
	directory  string // of the socket
	log        *zap.Logger
	cancel     context.CancelFunc
	supervisor sync.WaitGroup

	firstStart sync.Once
	started    chan struct{} // closed when the program listens, or has failed to start
}

// startStoreProgram starts the store program. Whenever the program ends, it is restarted, until the store is closed.
// startStoreProgram does not wait for the program: the first calls to the store do, within their own time limits.
func startStoreProgram(address string, log *zap.Logger) (store.Store, error) {
	path, err := findStoreProgram()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "robincart-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &storeProgram{
		path: path, address: address, directory: directory, log: log, cancel: cancel, started: make(chan struct{}),
	}
	s.Store = store.Remote(s.socket())
	s.supervisor.Go(func() { s.supervise(ctx) })
	return s, nil
}

// awaitStart waits until the program listens, or has failed to start.
func (s *storeProgram) awaitStart(ctx context.Context) error {
	select {
	case <-s.started:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("store program %s does not listen yet: %w", s.path, ctx.Err())
	}
}

// Meta implements store.Store.
func (s *storeProgram) Meta(ctx context.Context) (record.Meta, error) {
	if err := s.awaitStart(ctx); err != nil {
		return record.Meta{}, err
	}
	return s.Store.Meta(ctx)
}

// Since implements store.Store.
func (s *storeProgram) Since(ctx context.Context, after int64, limit int) (record.Page, error) {
	if err := s.awaitStart(ctx); err != nil {
		return record.Page{}, err
	}
	return s.Store.Since(ctx, after, limit)
}

// Write implements store.Store.
func (s *storeProgram) Write(
	ctx context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	if err := s.awaitStart(ctx); err != nil {
		return nil, record.Meta{}, err
	}
	return s.Store.Write(ctx, epoch, changes)
}

// Wait implements store.Store.
func (s *storeProgram) Wait(ctx context.Context, timeout time.Duration) error {
	if err := s.awaitStart(ctx); err != nil {
		return err
	}
	return s.Store.Wait(ctx, timeout)
}

// Close ends the program.
func (s *storeProgram) Close() error {
	s.cancel()
	s.supervisor.Wait()
	return os.RemoveAll(s.directory)
}

func (s *storeProgram) socket() string { return filepath.Join(s.directory, "store") }

func (s *storeProgram) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		var stderr tailBuffer
		err := s.run(ctx, &stderr)
		s.firstStart.Do(func() { close(s.started) }) // if the program failed to start, calls to the store fail
		if ctx.Err() != nil {
			return
		}
		s.log.Error("store program ended", zap.Error(err), zap.String("stderr", stderr.String()))
		select {
		case <-ctx.Done():
		case <-time.After(minRestartPause + rand.N(maxRestartPause-minRestartPause)):
		}
	}
}

// run starts the program and waits until it ends.
func (s *storeProgram) run(ctx context.Context, stderr *tailBuffer) error {
	program := exec.CommandContext(ctx, s.path, "serve", "--socket", s.socket())
	program.Env = append(os.Environ(), "ROBINCART_STORE="+s.address)
	program.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	program.Stderr = stderr
	stdin, err := program.StdinPipe() // the end of stdin tells the program that this process has ended
	if err != nil {
		return err
	}
	defer stdin.Close()
	if err := program.Start(); err != nil {
		return err
	}
	s.firstStart.Do(func() {
		s.awaitSocket(ctx)
		close(s.started)
	})
	return program.Wait()
}

// awaitSocket waits until the program listens.
func (s *storeProgram) awaitSocket(ctx context.Context) {
	for range storeDialAttempts {
		if ctx.Err() != nil {
			return
		}
		if conn, err := net.Dial("unix", s.socket()); err == nil {
			conn.Close()
			return
		}
		time.Sleep(storeDialPause)
	}
}

// tailBuffer keeps the last maxStderrBytes bytes that are written to it.
type tailBuffer struct {
	mu   sync.Mutex
	text []byte
}

func (t *tailBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	t.text = t.text[max(0, len(t.text)-maxStderrBytes):]
	return len(p), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}
