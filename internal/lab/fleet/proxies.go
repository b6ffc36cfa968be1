package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
)

// proxyKind is what a proxy's connections are for.
type proxyKind int

// The kinds.
const (
	proxyDiscovery proxyKind = iota // of real nodes to the controllers' endpoint lists
	proxyReal                       // of real nodes to the record
	proxyAPI                        // of controllers to the API
	proxyStore                      // of controllers to the store
)

// countedProxy is a proxy whose traffic counts for some roles.
type countedProxy struct {
	*Proxy
	kind proxyKind
}

// proxiedStore returns the store's URL by a proxy.
func (f *fleetRun) proxiedStore(kind proxyKind, from Place) (string, error) {
	address, err := f.startProxy(kind, from, f.config.Store)
	if err != nil {
		return "", err
	}
	storeURL, err := url.Parse(f.storeURL)
	if err != nil {
		return "", err
	}
	storeURL.Host = address
	return storeURL.String(), nil
}

// startProxy starts a proxy to an endpoint and returns its address.
func (f *fleetRun) startProxy(kind proxyKind, from Place, to Endpoint) (string, error) {
	targets := []target{{place: to.Place, address: to.Addr}}
	return f.startProxyToAny(kind, from, func() []target { return targets })
}

func (f *fleetRun) startProxyToAny(kind proxyKind, from Place, targets func() []target) (string, error) {
	address, err := f.ports.next()
	if err != nil {
		return "", err
	}
	proxy, err := startProxy(f.network, from, address, targets)
	if err != nil {
		return "", err
	}
	f.proxies = append(f.proxies, &countedProxy{Proxy: proxy, kind: kind})
	return proxy.Addr(), nil
}

// Ports that a portAllocator gives: below those that the kernel gives to connections.
const (
	firstPort     = 10_000
	lastPort      = 32_000
	maxPortProbes = 5000
)

// errNoPort reports that all ports are in use.
var errNoPort = errors.New("no port is free")

// portAllocator gives addresses to listeners, each once. Its loopback address depends on the process, so that another
// run beside this one can't take the port of a controller that is down. The zero value is ready for use.
type portAllocator struct{ last int }

func (p *portAllocator) next() (string, error) {
	p.last = max(p.last, firstPort)
	pid := os.Getpid()
	for range maxPortProbes {
		p.last++
		if p.last > lastPort {
			break
		}
		address := fmt.Sprintf("127.%d.%d.1:%d", 64+pid/250%128, pid%250, p.last)
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", errNoPort
}
