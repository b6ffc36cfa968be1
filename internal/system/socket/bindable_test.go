package socket

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCheckBindable(t *testing.T) {
	ln := newTestListener(t)
	address := ln.Addr().String()
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	_, listenErr := Listen("tcp", address)
	checkErr := CheckBindable(address)
	assert.ErrorIs(t, checkErr, syscall.EADDRINUSE)
	assert.Equal(t, listenErr.Error(), checkErr.Error())
	assert.ErrorIs(t, CheckBindable(":"+port), syscall.EADDRINUSE)
	assert.Error(t, CheckBindable("no port"))
	assert.ErrorIs(t, CheckBindable("192.0.2.1:1"), syscall.EADDRNOTAVAIL)

	client := dial(t, ln) // a connection that has ended leaves the address in use for a while
	accepted := acceptConn(t, ln)
	accepted.Close()
	client.Close()
	ln.Close()
	require.NoError(t, CheckBindable(address))
	again, err := Listen("tcp", address)
	require.NoError(t, err, "the check has left nothing behind")
	again.Close()
	if ln6, err := net.Listen("tcp", "[::1]:0"); err == nil {
		assert.ErrorIs(t, CheckBindable(ln6.Addr().String()), syscall.EADDRINUSE)
		ln6.Close()
		assert.NoError(t, CheckBindable(ln6.Addr().String()))
	}
	assert.NoError(t, CheckBindable("127.0.0.1:0"))
}
