package run

import (
	"context"
	"fmt"
	"slices"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/standin"
)

// addProxy puts a proxy before a server that has none yet, if faults are made by proxies, and has discovery publish the
// proxy's address.
func (f *fleet) addProxy(s *serverSlot) error {
	if !slices.ContainsFunc(f.experiment.Faults, experiment.Fault.UsesProxy) {
		return nil
	}
	if s.proxy == nil {
		proxy, err := standin.NewProxy(f.experiment.Fleet.Host+":0", func() string { return s.current().Addr() })
		if err != nil {
			return fmt.Errorf("a proxy: %w", err)
		}
		s.proxy = proxy
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.member.Addr = s.proxy.Addr()
	return nil
}

// playNetworkFault makes a fault of the network before servers.
func (f *fleet) playNetworkFault(ctx context.Context, fault experiment.Fault, servers []*serverSlot) {
	for _, s := range servers {
		switch fault.Kind {
		case experiment.FaultCut:
			s.proxy.Cut()
		case experiment.FaultMute:
			s.proxy.Mute(true)
		case experiment.FaultTrickle:
			s.proxy.Trickle(fault.By.Std())
		}
	}
	sleep(ctx, fault.For.Std())
	for _, s := range servers {
		switch fault.Kind {
		case experiment.FaultMute:
			s.proxy.Mute(false)
		case experiment.FaultTrickle:
			s.proxy.Trickle(0)
		}
	}
}
