package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/testutil"
)

// The log's pipe is full before the node's first line, and no process reads it.
func TestLog_FullPipeDoesNotBlockNode(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	require.NoError(t, w.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	fill := make([]byte, 1<<9)
	for err == nil {
		_, err = w.Write(fill)
	}
	s := newServer(t, respond(200, "well"))
	d := newDiscovery(t, newMember("s0", s.addr(), "ready"))
	config := newConfig(t, d, d.members()...)
	cmd, _ := newCommand(t, config)
	cmd.Stderr = w
	require.NoError(t, cmd.Start())
	// The node's process shares the flags of the pipe. The pipe must block on writes. Otherwise, the node would drop
	// lines, and the test would check nothing.
	raw, err := w.SyscallConn()
	require.NoError(t, err)
	raw.Control(func(fd uintptr) { syscall.SetNonblock(int(fd), false) })
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	p := &testNode{t: t, addr: config["listen"].(string)}
	require.Eventually(t, func() bool { return p.send("find", "").status == 200 }, 20*time.Second, 10*time.Millisecond)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, testutil.Receive(t, ended))
}

func TestAsyncWriter_CountsLostLines(t *testing.T) {
	r, w := io.Pipe()
	l := newAsyncWriter(w)
	for i := range maxQueuedLines + 9 {
		l.Write(fmt.Appendf(nil, "line %d\n", i))
	}
	l.Sync() // returns after syncTimeout, since the pipe is not read
	all := ""
	for lines := bufio.NewScanner(r); !strings.HasSuffix(all, "next") && lines.Scan(); {
		all += lines.Text()
		if strings.HasSuffix(all, fmt.Sprintf("line %d", maxQueuedLines-1)) {
			l.Write([]byte("next\n"))
		}
	}
	assert.Contains(t, all, "are lost")
}
