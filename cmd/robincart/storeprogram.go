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

	"robincart/internal/record/store"
)

const (
	// storeProgramName is the program that has the databases' drivers, which would cost every node 4 MB. It is
	// beside this one.
	storeProgramName = "robincart-record"
	// storeStartTimeout is how long opening the store waits for the program's first start.
	storeStartTimeout = 5 * time.Second
	// storeDialAttempts and storeDialPause bound the wait for the program's socket.
	storeDialAttempts = 400
	storeDialPause    = 10 * time.Millisecond
	// minRestartPause and maxRestartPause bound the pause before the program is started again.
	minRestartPause = 200 * time.Millisecond
	maxRestartPause = 1000 * time.Millisecond
	// maxStderrBytes is how much of the program's last output is logged.
	maxStderrBytes = 500
)

// findStoreProgram returns the path of the store's program, or an error if there is none. ROBINCART_RECORD
// overrides it.
func findStoreProgram() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), storeProgramName)
	if override := os.Getenv("ROBINCART_RECORD"); override != "" {
		path = override
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the store of record needs the program %s beside this one: %w", storeProgramName, err)
	}
	return path, nil
}

// storeProgram is a store that is reached by the store's program, which runs as long as the store is open.
type storeProgram struct {
	store.Store
	path       string // of the program
	address    string // of the store
	directory  string // of the socket
	log        *zap.Logger
	cancel     context.CancelFunc
	supervisor sync.WaitGroup

	firstStart sync.Once
	started    chan struct{} // closed when the program answers, or has failed to start
}

// startStoreProgram starts the program, and again whenever it ends, until the store is closed.
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
	select {
	case <-s.started:
	case <-time.After(storeStartTimeout):
	}
	return s, nil
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
		s.firstStart.Do(func() { close(s.started) }) // it has failed to start: calls to the store will say so
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

// run starts the program and waits for its end.
func (s *storeProgram) run(ctx context.Context, stderr *tailBuffer) error {
	program := exec.CommandContext(ctx, s.path, "serve", "--socket", s.socket())
	program.Env = append(os.Environ(), "ROBINCART_STORE="+s.address)
	program.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	program.Stderr = stderr
	stdin, err := program.StdinPipe() // its end tells the program that this process has ended
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

// tailBuffer keeps the last of what is written to it.
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
