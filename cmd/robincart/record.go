package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/system/keys"
	"robincart/internal/system/socket"
)

// recordProgram has the databases' drivers, which would cost every node 4 MB. It is found beside this program.
const recordProgram = "robincart-record"

func beside() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), recordProgram)
	if p := os.Getenv("ROBINCART_RECORD"); p != "" {
		path = p
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the store of record needs the program %s beside this one: %w", recordProgram, err)
	}
	return path, nil
}

// recordCommand hands over to it.
func recordCommand() *cobra.Command {
	return &cobra.Command{Use: "record", Short: "Make, show, change, save and check the store of record", DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			path, err := beside()
			if err != nil {
				return err
			}
			return syscall.Exec(path, append([]string{recordProgram}, args...), os.Environ())
		}}
}

// helper is the store's program while the node runs.
type helper struct {
	store.Store
	end  context.CancelFunc
	done sync.WaitGroup
	dir  string
}

// agent starts the store's program, and again whenever it ends.
func agent(address string, log *zap.Logger) (store.Store, error) {
	path, err := beside()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "robincart-")
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	h := &helper{Store: store.Remote(filepath.Join(dir, "store")), end: end, dir: dir}
	up := make(chan struct{})
	h.done.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			cmd := exec.CommandContext(ctx, path, "serve", "--socket", filepath.Join(dir, "store"))
			cmd.Env = append(os.Environ(), "ROBINCART_STORE="+address)
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			var said tail
			cmd.Stderr = &said
			in, err := cmd.StdinPipe() // its end tells the program that this one has ended
			if err == nil {
				err = cmd.Start()
			}
			if err == nil {
				if n == 0 {
					waitFor(ctx, filepath.Join(dir, "store"))
					close(up)
				}
				err = cmd.Wait()
				in.Close()
			} else if n == 0 {
				close(up)
			}
			if ctx.Err() == nil {
				log.Error("the store's program ended; it is started again", zap.Error(err), zap.String("said", said.String()))
				select {
				case <-ctx.Done():
				case <-time.After(time.Duration(200+rand.Intn(800)) * time.Millisecond):
				}
			}
		}
	})
	select {
	case <-up:
	case <-time.After(5 * time.Second):
	}
	return h, nil
}

func waitFor(ctx context.Context, socket string) {
	for i := 0; i < 400 && ctx.Err() == nil; i++ {
		if c, err := net.Dial("unix", socket); err == nil {
			c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (h *helper) Close() error {
	h.end()
	h.done.Wait()
	return os.RemoveAll(h.dir)
}

// tail keeps the last of what a program says.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	t.text = t.text[max(0, len(t.text)-500):]
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}

// keep begins to keep the record, and to show how it stands.
func keep(c *nodeconfig.Config, ring *keys.Ring, log *zap.Logger) (*recordcache.Cache, func(), error) {
	r := c.Record
	open := func() (store.Store, error) { return agent(r.Store, log) }
	if addrs, is, _ := store.ParseControllers(r.Store); is { // no driver, no program beside this one
		var secure func(string) *tls.Config
		if ring != nil {
			secure = ring.Client
		}
		open = func() (store.Store, error) { return store.DialControllers(addrs, secure), nil }
	}
	var status net.Listener
	if r.StatusAddress != "" {
		var err error
		if status, err = socket.Listen("tcp", r.StatusAddress); err != nil {
			return nil, nil, fmt.Errorf("record.status: %w", err)
		}
	}
	start, cancel := context.WithTimeout(context.Background(), 2*time.Duration(r.CallTimeout))
	defer cancel()
	k, err := recordcache.Open(start, recordcache.Config{Name: c.Name, Store: store.Redact(r.Store), Open: open, Snapshot: r.Snapshot, Required: r.Required, MaxStaleness: time.Duration(*r.MaxStaleness),
		MaxPending: r.MaxPending, CallTimeout: time.Duration(r.CallTimeout), PollInterval: time.Duration(r.PollInterval)}, log)
	if err != nil {
		if status != nil {
			status.Close()
		}
		return nil, nil, err
	}
	if status != nil {
		go k.ServeStatus(status)
	}
	return k, func() {
		if status != nil {
			status.Close()
		}
		k.Close()
	}, nil
}

// over puts what the record says over the file. What can't be compiled is logged, and what is in force stays.
func over(file *nodeconfig.Config, k *recordcache.Cache, now *nodeconfig.Config, log *zap.Logger) *nodeconfig.Config {
	if k == nil {
		return file
	}
	var facts []record.Entry
	for _, kind := range []record.Kind{record.KindService, record.KindRoute, record.KindTenant} {
		facts = append(facts, k.Entries(kind)...)
	}
	if len(facts) == 0 {
		return file
	}
	fresh, err := file.WithRecord(facts)
	if err != nil {
		log.Error("what the record says of services and routes can't be used; the old one stays", zap.Strings("mistakes", strings.Split(err.Error(), "\n")))
		return now
	}
	fresh.KeepProcessSettings(now)
	return fresh
}
