// Package loopback numbers addresses of the loopback network, 127.0.0.0/8, so that many stand-in servers have an
// address each without any set-up of the machine. It opens nothing: a listener at 0.0.0.0 serves all of them.
package loopback

import "fmt"

const (
	hostsPerOctet  = 250 // 1 to 250: neither a network's nor a broadcast address
	octetsPerBlock = 250
	hostsPerBlock  = hostsPerOctet * octetsPerBlock
)

// Address returns the n-th address, n from 0 on, at or after 127.block.0.1. A block has 62,500 addresses; those that
// follow are in the next blocks.
func Address(block, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", block+n/hostsPerBlock, n/hostsPerOctet%octetsPerBlock, n%hostsPerOctet+1)
}
