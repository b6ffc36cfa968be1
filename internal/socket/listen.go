package socket

import (
	"net"
	"time"
)

// A process that is started while its machine is short of something for a moment waits for it: it would else be down until it is started
// once more.
const (
	listenFor   = 5 * time.Second
	listenPause = 20 * time.Millisecond
)

// Listen listens, at the latest when this side's shortage of descriptors or memory has passed or has lasted for seconds.
func Listen(network, addr string) (net.Listener, error) {
	var ln net.Listener
	err := Lasting(func() (err error) {
		ln, err = net.Listen(network, addr)
		return err
	})
	return ln, err
}

// Lasting does something that a start needs, again while only descriptors or memory are wanting, and returns the error that has lasted.
func Lasting(do func() error) error {
	for end := time.Now().Add(listenFor); ; time.Sleep(listenPause) {
		err := do()
		if k := KindOf(err); k != Descriptors && k != Memory || time.Now().After(end) {
			return err
		}
	}
}
