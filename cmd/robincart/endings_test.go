package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/handover"
)

// Crossings of a process's beginning and end, each forced.

// A process that looks for the one before it has a listener already, and the kernel takes callers for it.
func TestATermBeforeTheNodeServesLosesNobody(t *testing.T) {
	l, _ := newPlace(t, newServer(t, says(200, "well")))
	before, err := handover.Listen(handover.Path(l.dir, "n1 "+l.addr)) // it says nothing, and is waited for
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
