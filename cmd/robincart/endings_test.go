package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/handover"
	"robincart/internal/testutil"
)

// Crossings of a process's beginning and end, each forced.

// A process that looks for the one before it has a listener already, and the kernel takes callers for it.
func TestATermBeforeTheNodeServesLosesNobody(t *testing.T) {
	l, _ := newPlace(t, newServer(t, says(200, "well")))
	before, err := handover.Listen(handover.SocketPath(l.dir, "n1 "+l.addr)) // it says nothing, and is waited for
	require.NoError(t, err)
	defer before.Close()
	l.config["admin_addr"] = freeAddress(t)
	p := l.begin()
	link, err := before.AcceptUnix()
	require.NoError(t, err)
	defer link.Close()
	c, err := net.Dial("tcp", l.addr)
	require.NoError(t, err)
	defer c.Close()
	io.WriteString(c, raw("GET /find", "find"))
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if assert.NoError(t, err, p.log) {
		assert.Equal(t, 200, r.StatusCode)
	}
	p.exits(t)
}

// The log's pipe is full before the node's first line, and nobody reads it.
func TestALogThatNobodyReadsHoldsUpNeitherCallersNorTheEnd(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	require.NoError(t, w.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	fill := make([]byte, 1<<9)
	for err == nil {
		_, err = w.Write(fill)
	}
	s := newServer(t, says(200, "well"))
	d := newDiscovery(t, listed("s0", s.addr(), "ready"))
	config := configuration(t, d, d.all()...)
	cmd, _ := command(t, config)
	cmd.Stderr = w
	require.NoError(t, cmd.Start())
	// The pipe is the child's, too, and one that does not block would lose lines and not hold anybody up.
	raw, err := w.SyscallConn()
	require.NoError(t, err)
	raw.Control(func(fd uintptr) { syscall.SetNonblock(int(fd), false) })
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	p := &program{t: t, addr: config["listen"].(string)}
	require.Eventually(t, func() bool { return p.ask("find", "").status == 200 }, 20*time.Second, 10*time.Millisecond)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, testutil.Receive(t, ended))
}

func TestLinesThatNobodyReadsAreCountedAndTheLogGoesOn(t *testing.T) {
	r, w := io.Pipe()
	l := newAsyncWriter(w)
	for i := range maxQueuedLines + 9 {
		l.Write(fmt.Appendf(nil, "line %d\n", i))
	}
	l.Sync() // not for ever
	all := ""
	for lines := bufio.NewScanner(r); !strings.HasSuffix(all, "next") && lines.Scan(); {
		all += lines.Text()
		if strings.HasSuffix(all, fmt.Sprintf("line %d", maxQueuedLines-1)) {
			l.Write([]byte("next\n"))
		}
	}
	assert.Contains(t, all, "are lost")
}
