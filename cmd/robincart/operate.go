package main

import (
	"fmt"
	"net"
	"sync/atomic"

	"go.uber.org/zap"

	"robincart/internal/admin"
	"robincart/internal/frontend"
	"robincart/internal/node"
)

// operations are what the operators' address acts on.
type operations struct {
	front  *frontend.Server
	cores  func() []*node.Core // of all services
	taking atomic.Bool         // callers are taken
}

func (o *operations) Ready() bool { return o.taking.Load() }

// Detach takes a server out of every service that lists it, or did.
func (o *operations) Detach(server string) bool { return o.each(server, (*node.Core).Detach) }

// Attach lets it back into all of them.
func (o *operations) Attach(server string) bool { return o.each(server, (*node.Core).Attach) }

func (o *operations) each(server string, do func(*node.Core, string) bool) bool {
	any := false
	for _, c := range o.cores() {
		any = do(c, server) || any
	}
	return any
}

func (o *operations) Lame(on bool) { o.front.Lame(on) }

// operated serves the operators' address, if there is one, and returns its end.
func operated(addr string, o *operations, log *zap.Logger) (func(), error) {
	if addr == "" {
		return func() {}, nil
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	return admin.Serve(ln, o, admin.Defaults(), log).Close, nil
}
