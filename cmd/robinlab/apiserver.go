package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/controlplane/controller"
	"robincart/internal/lab/apiserver"
	"robincart/internal/lab/loopback"
)

// Bounds of the scripted cluster.
const (
	maxPods         = 5000
	maxMachines     = 26
	minRollInterval = 10 * time.Millisecond
)

// podBlock is the loopback block of the pods' addresses.
const podBlock = 20

// apiserverFlags are the flags of apiserver.
type apiserverFlags struct {
	listen, service, gate string
	pods, machines        int
	rollInterval          time.Duration // 0: pods are replaced by the script alone
}

func apiserverCommand() *cobra.Command {
	var flags apiserverFlags
	command := &cobra.Command{
		Use: "apiserver",
		Short: "A stand-in for the cluster manager's API on loopback, with a scripted cluster and servers, " +
			"commanded on standard input",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			return serveAPI(command, &flags)
		},
	}
	set := command.Flags()
	set.StringVar(&flags.listen, "listen", "127.0.0.1:6443", "a loopback address")
	set.StringVar(&flags.service, "service", "booking-api", "the cluster manager's Service")
	set.IntVar(&flags.pods, "pods", 10, "how many")
	set.IntVar(&flags.machines, "machines", 3, "that pods are spread over")
	set.StringVar(&flags.gate, "gate", "",
		"a readiness gate of each pod; the controller's own is "+controller.ReadinessGate)
	set.DurationVar(&flags.rollInterval, "roll", 0, "replace a pod so often; 0: when commanded to")
	return command
}

func (a *apiserverFlags) check() error {
	host, _, err := net.SplitHostPort(a.listen)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("--listen %q is no loopback address with a port", a.listen)
	}
	tooManyPods := a.pods < 0 || a.pods > maxPods
	tooManyMachines := a.machines < 0 || a.machines > maxMachines
	tooOften := a.rollInterval != 0 && a.rollInterval < minRollInterval
	if tooManyPods || tooManyMachines || tooOften {
		return fmt.Errorf("--pods goes to %d, --machines to %d, --roll from %v", maxPods, maxMachines, minRollInterval)
	}
	return nil
}

// serveAPI runs the API, the cluster and the pods' servers until the context ends.
func serveAPI(command *cobra.Command, flags *apiserverFlags) error {
	api, err := apiserver.Start(flags.listen, nil)
	if err != nil {
		return err
	}
	defer api.Stop()
	pods, err := startPodServers()
	if err != nil {
		return err
	}
	defer pods.Close()
	cluster := &apiserver.Cluster{
		API:      api,
		Service:  flags.service,
		Port:     pods.port,
		PerSlice: 50,
		Nodes:    flags.machines,
		Gate:     flags.gate,
		Rand:     rand.New(rand.NewSource(1)),
		Address:  func(n int) string { return loopback.Address(podBlock, n) },
	}
	cluster.Scale(flags.pods)
	out := command.OutOrStdout()
	fmt.Fprintf(out, "the API is at http://%s, service %s has %d pods; type help for the commands, Ctrl-C ends it\n",
		api.Addr(), flags.service, flags.pods)
	script := &clusterScript{cluster: cluster, out: out}
	return script.run(command.Context(), flags.rollInterval, command.InOrStdin())
}

// podServers answers for all pods: one listener at all loopback addresses.
type podServers struct {
	*http.Server
	port int
}

// startPodServers starts the servers. Close ends them.
func startPodServers() (*podServers, error) {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(servePod)}
	go server.Serve(listener)
	return &podServers{Server: server, port: listener.Addr().(*net.TCPAddr).Port}, nil
}

// servePod answers with the pod's address. Peers that came another way than by loopback get an empty answer.
func servePod(w http.ResponseWriter, r *http.Request) {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if ok && local.IP.IsLoopback() {
		fmt.Fprintf(w, "from %s\n", local.IP)
	}
}
