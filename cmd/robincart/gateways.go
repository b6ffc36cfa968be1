package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/system/socket"
)

// unixPrefix marks a listen address as the path of a Unix socket.
const unixPrefix = "unix:"

// gatewayListener is a listener for gateways that speak FastCGI.
type gatewayListener struct {
	listener net.Listener
	gateway  *frontend.Gateway
}

// listenForGateways listens for all gateways of a configuration. If it can't listen for a gateway, it closes the
// listeners that are already open and returns the error.
func listenForGateways(config *nodeconfig.Config) ([]gatewayListener, error) {
	var all []gatewayListener
	for _, gateway := range config.Gateways {
		listener, err := listenForGateway(gateway.Listen)
		if err != nil {
			return nil, errors.Join(err, closeGateways(all))
		}
		all = append(all, gatewayListener{listener, &frontend.Gateway{
			TraceParam:          gateway.Params.TraceID,
			MethodParam:         gateway.Params.Class,
			TenantParam:         gateway.Params.Tenant,
			IdempotencyKeyParam: gateway.Params.IdempotencyKey,
			TimeLeftParam:       gateway.Params.TimeLeft,
			DefaultTenant:       gateway.DefaultTenant,
			DefaultTimeLeft:     time.Duration(gateway.DefaultTimeLeft),
			Overloaded:          gateway.Overloaded,
			AdvertisedRequests:  config.Limits.MaxRequests,
		}})
	}
	return all, nil
}

func listenForGateway(address string) (net.Listener, error) {
	network := "tcp"
	path, unix := strings.CutPrefix(address, unixPrefix)
	if unix {
		network = "unix"
		if err := removeStaleSocket(path); err != nil {
			return nil, err
		}
	}
	listener, err := socket.Listen(network, path)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// removeStaleSocket removes a socket that a killed process has left at a path. It returns an error if a process listens
// on the socket. A file that is not a socket is not removed.
func removeStaleSocket(path string) error {
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return fmt.Errorf("listen %s%s: another process listens on this socket", unixPrefix, path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	return nil
}

func closeGateways(all []gatewayListener) error {
	var err error
	for _, gateway := range all {
		err = errors.Join(err, gateway.listener.Close())
	}
	return err
}
