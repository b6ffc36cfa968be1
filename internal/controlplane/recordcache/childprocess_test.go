package recordcache

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/internal/controlplane/recordserver"
	"robincart/internal/lab/pgstand"
	"robincart/internal/lab/traffic"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

// Environment variables with which a benchmark starts this binary as the process of the store or of the replicas.
const (
	rowsFileVariable        = "ROBINCART_PGSTAND_ROWS"     // path of the stand-in's rows
	replicatedStoreVariable = "ROBINCART_REPLICATED_STORE" // address of the store that the replicas serve
)

// replicaCount is the number of controller replicas that one child process serves.
const replicaCount = 3

// TestMain runs the tests. If a benchmark has started this binary as a child process, TestMain instead serves the
// PostgreSQL stand-in or controller replicas. In a child process their CPU time is measured separately from the nodes'
// CPU time.
func TestMain(m *testing.M) {
	rows := os.Getenv(rowsFileVariable)
	address := os.Getenv(replicatedStoreVariable)
	switch {
	case rows != "":
		serveUsage(startPostgres(rows))
	case address != "":
		serveUsage(startReplicas(address))
	default:
		os.Exit(m.Run())
	}
}

// startPostgres serves the stand-in and prints its address. It returns a function that returns the stand-in's counters.
func startPostgres(rows string) func() usage {
	postgres, err := pgstand.Start("127.0.0.1:0", rows)
	if err != nil {
		panic(err)
	}
	fmt.Println(postgres.Address())
	return func() usage { return usage{Counts: postgres.Counts()} }
}

// startReplicas serves replicas of a store and prints their addresses. It returns a function that returns the sum of
// the replicas' counters.
func startReplicas(address string) func() usage {
	var addresses []string
	var listeners []*traffic.Listener
	for range replicaCount {
		database, err := sqlstore.OpenExisting(address)
		if err != nil {
			panic(err)
		}
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		listener := traffic.Listen(tcp)
		server := recordserver.New(database, recordserver.DefaultConfig(), zap.NewNop())
		go server.Run(context.Background())
		go store.ServeWithLimits(context.Background(), listener, server, recordserver.ClientLimits(5000))
		addresses = append(addresses, tcp.Addr().String())
		listeners = append(listeners, listener)
	}
	fmt.Println(strings.Join(addresses, ","))
	return func() usage {
		var sum usage
		for _, listener := range listeners {
			counts := listener.Counts()
			sum.Bytes += counts.Bytes
			sum.Segments += counts.Segments
			sum.Connections += counts.Connections
		}
		return sum
	}
}

// serveUsage reads lines from standard input until standard input ends. For each line it prints the current usage as a
// line of JSON.
func serveUsage(counters func() usage) {
	for requests := bufio.NewScanner(os.Stdin); requests.Scan(); {
		current := counters()
		current.CPU = cpuTime()
		current.ResidentKB = residentKB()
		text, err := json.Marshal(current)
		if err != nil {
			panic(err)
		}
		fmt.Println(string(text))
	}
}

// usage is the resource usage of a child process.
type usage struct {
	pgstand.Counts
	CPU        time.Duration
	ResidentKB int
}

func cpuTime() time.Duration {
	var self syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &self)
	return time.Duration(self.Utime.Nano() + self.Stime.Nano())
}

func residentKB() int {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		panic(err)
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	var kilobytes int
	fmt.Sscan(after, &kilobytes)
	return kilobytes
}

// childProcess is this binary, started as the process of the store or of the replicas.
type childProcess struct {
	Address string
	usage   func() usage
}

func startChild(tb testing.TB, variable, value string) *childProcess {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), variable+"="+value)
	command.Stderr = os.Stderr
	stdin, err := command.StdinPipe()
	require.NoError(tb, err)
	stdout, err := command.StdoutPipe()
	require.NoError(tb, err)
	require.NoError(tb, command.Start())
	tb.Cleanup(func() {
		stdin.Close()
		command.Process.Kill()
		command.Wait()
	})
	lines := bufio.NewScanner(stdout)
	require.True(tb, lines.Scan())
	return &childProcess{
		Address: lines.Text(),
		usage: func() usage {
			fmt.Fprintln(stdin)
			require.True(tb, lines.Scan())
			var current usage
			require.NoError(tb, json.Unmarshal(lines.Bytes(), &current))
			return current
		},
	}
}
