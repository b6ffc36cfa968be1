package main

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/testutil"
)

// If a server starts to drain while a connect to it is in progress, and the connect takes longer than the grace period
// of a draining server, then the request must not be sent to that server.
func TestEndpoints_ServerDrainsDuringSlowConnect(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	require.NoError(t, err)
	file.Close()
	defer ln.Close()
	// The listener's queue holds one connection, which is the filler. The kernel retries the node's connect after one
	// second.
	filler, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer filler.Close()

	d := newDiscovery(t, newMember("slow", ln.Addr().String(), "ready"))
	p := startTestNode(t, newConfig(t, d, d.members()[0]))
	require.Eventually(t, func() bool { return d.watchesStarted() > 0 }, 5*time.Second, 10*time.Millisecond)
	got := make(chan response, 1)
	go func() { got <- p.send("charge", "x") }()
	time.Sleep(200 * time.Millisecond)
	d.Update(newMember("slow", ln.Addr().String(), "draining"))
	time.Sleep(100 * time.Millisecond)
	written := make(chan int, 9)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
				n, _ := c.Read(make([]byte, 99))
				written <- n
			}()
		}
	}()
	r := testutil.Receive(t, got)
	assert.Equal(t, 503, r.status, "it never ran, and there is no other server")
	assert.Greater(t, r.duration, 500*time.Millisecond, "the connect was not slow: the test has checked nothing")
	assert.Zero(t, testutil.Receive(t, written))
	assert.Zero(t, testutil.Receive(t, written))
}

func TestEndpoints_ServesWhileDiscoveryIsDown(t *testing.T) {
	old, fresh := newServer(t, respond(200, "old")), newServer(t, respond(200, "fresh"))
	p, d := startWithServers(t, old)
	require.Eventually(t, func() bool { return d.watchesStarted() == 1 }, 5*time.Second, 10*time.Millisecond)
	d.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, "old", p.send("find", "").body)
	d.Update(newMember("s0", old.addr(), "gone"), newMember("s1", fresh.addr(), "ready"))
	assert.Equal(t, "old", p.send("find", "").body, "the node has not received the change")
	d.SetDown(false)
	require.Eventually(t, func() bool { return d.watchesStarted() == 2 }, 15*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { return p.send("find", "").body == "fresh" }, time.Second, 10*time.Millisecond)
	n := old.count()
	for range 5 {
		assert.Equal(t, "fresh", p.send("find", "").body)
	}
	assert.Equal(t, n, old.count())
}

func TestEndpoints_StaleInitialList(t *testing.T) {
	unusedAddress := freeAddress(t)
	good := newServer(t, respond(200, "well"))
	d := newDiscovery(t)
	d.SetDown(true)
	p := startTestNode(t, newConfig(t, d,
		newMember("left", unusedAddress, "ready"),
		newMember("there", good.addr(), "ready")))
	for range 10 {
		assert.Equal(t, 200, p.send("charge", "x").status)
	}
}

func TestEndpoints_ServerChangesAddress(t *testing.T) {
	here, there := newServer(t, respond(200, "here")), newServer(t, respond(200, "there"))
	p, d := startWithServers(t, here)
	require.Eventually(t, func() bool { return d.watchesStarted() == 1 }, 5*time.Second, 10*time.Millisecond)
	assert.Equal(t, "here", p.send("find", "").body)
	d.Update(newMember("s0", there.addr(), "ready"))
	require.Eventually(t, func() bool { return p.send("find", "").body == "there" }, time.Second, 10*time.Millisecond)
}
