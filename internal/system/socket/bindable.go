package socket

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// CheckBindable returns the error that Listen would return for a TCP address at which another process listens, or which
// this machine does not have. It does not listen, so that the kernel accepts no connection.
func CheckBindable(address string) error {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return err
	}
	if err := RetryTransient(func() error { return tryBind(resolved) }); err != nil {
		return &net.OpError{Op: "listen", Net: "tcp", Addr: resolved, Err: err}
	}
	return nil
}

// tryBind binds a socket to an address and closes it.
func tryBind(address *net.TCPAddr) error {
	family := unix.AF_INET
	var bound unix.Sockaddr
	if ip4 := address.IP.To4(); ip4 != nil || len(address.IP) == 0 {
		inet4 := &unix.SockaddrInet4{Port: address.Port}
		copy(inet4.Addr[:], ip4)
		bound = inet4
	} else {
		inet6 := &unix.SockaddrInet6{Port: address.Port, ZoneId: zoneIndex(address.Zone)}
		copy(inet6.Addr[:], address.IP)
		family, bound = unix.AF_INET6, inet6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer unix.Close(fd)
	// As for the listener of package net: connections that have ended must not keep the address.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	return os.NewSyscallError("bind", unix.Bind(fd, bound))
}

// zoneIndex returns the index of the network interface that an IPv6 address names, or 0 if there is none.
func zoneIndex(zone string) uint32 {
	networkInterface, err := net.InterfaceByName(zone)
	if err != nil {
		return 0
	}
	return uint32(networkInterface.Index)
}
