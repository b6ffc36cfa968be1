package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/lab/standin"
)

// BenchmarkExchange runs sequential attempts over one connection, with HTTP and with FastCGI. The servers respond at
// once.
func BenchmarkExchange(b *testing.B) {
	b.Run("http", func(b *testing.B) {
		benchmarkExchange(b, newFixture(b, startBenchmarkServer(b, func([]byte) []byte {
			return []byte(okResponse)
		}), 5))
	})
	b.Run("fastcgi", func(b *testing.B) {
		f := newFixture(b, startBenchmarkServer(b, func(request []byte) []byte {
			applicationRequest := standin.ApplicationRequest{ID: uint16(request[2])<<8 | uint16(request[3])}
			return applicationRequest.Answered("Content-Type: text/x", "hi")
		}), 5)
		f.UseFastCGI(nil)
		benchmarkExchange(b, f)
	})
}

func benchmarkExchange(b *testing.B, f *fixture) {
	f.core.timeLeft = time.Minute
	b.ReportAllocs()
	for b.Loop() {
		f.core.results = f.core.results[:0]
		if f.attempt() != decide.OK {
			b.Fatal("an attempt failed")
		}
	}
}

// startBenchmarkServer starts a server that reads each request with one call, since the node writes it with one call.
func startBenchmarkServer(b *testing.B, respond func(request []byte) []byte) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { listener.Close() })
	serve := func(c net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := c.Read(buffer)
			if err != nil {
				return
			}
			c.Write(respond(buffer[:n]))
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String()
}
