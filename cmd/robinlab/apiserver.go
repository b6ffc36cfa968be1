package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/controlplane/controller"
	"robincart/internal/lab/apiserver"
)

// drillHelp is what the scripted cluster manager can be told, a line each.
const drillHelp = `roll             replace the oldest pod          scale N           so many pods
evict POD        end one and start another       cordon N, leave N machine N takes no pods; or they have to leave it
uncordon N       machine N as before             pods              those that live
break            end all watches                 replay            the last 50 events of pods and slices once more
compact          forget the history              hang 2s           answer nothing for a while
limit 20         the next requests get 429       fail 20           they get 500
backup, restore  keep the state; go back to it   help`

func apiserverCommand() *cobra.Command {
	var listen, service, gate string
	var pods, machines int
	var roll time.Duration
	c := &cobra.Command{Use: "apiserver", Short: "A stand-in for the cluster manager's API on loopback, with a scripted cluster and servers, told what to do on standard input", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			host, _, err := net.SplitHostPort(listen)
			if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
				return fmt.Errorf("--listen %q is no loopback address with a port", listen)
			}
			if pods < 0 || pods > 5000 || machines < 0 || machines > 26 || roll < 0 || roll > 0 && roll < 10*time.Millisecond {
				return fmt.Errorf("--pods goes to 5000, --machines to 26, --roll from 10ms")
			}
			api, err := apiserver.Start(listen, nil)
			if err != nil {
				return err
			}
			defer api.Stop()
			ln, err := net.Listen("tcp4", "0.0.0.0:0") // the pods' servers, at their loopback addresses
			if err != nil {
				return err
			}
			srv := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if at, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr); ok && at.IP.IsLoopback() {
					fmt.Fprintf(w, "from %s\n", at.IP)
				}
			})}
			go srv.Serve(ln)
			defer srv.Close()
			cluster := &apiserver.Cluster{API: api, Service: service, Port: ln.Addr().(*net.TCPAddr).Port, PerSlice: 50, Nodes: machines, Gate: gate, Rand: rand.New(rand.NewSource(1)),
				Address: func(n int) string { return fmt.Sprintf("127.%d.%d.%d", 20+n/62500, n/250%250, n%250+1) }}
			cluster.Scale(pods)
			out := c.OutOrStdout()
			fmt.Fprintf(out, "the API is at http://%s, service %s has %d pods; say help for what it can be told, Ctrl-C ends it\n", api.Addr(), service, pods)
			return drill(c.Context(), cluster, roll, c.InOrStdin(), out)
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:6443", "a loopback address")
	c.Flags().StringVar(&service, "service", "booking-api", "the cluster manager's Service")
	c.Flags().IntVar(&pods, "pods", 10, "how many")
	c.Flags().IntVar(&machines, "machines", 3, "that pods are spread over")
	c.Flags().StringVar(&gate, "gate", "", "a readiness gate of each pod; the controller's own is "+controller.ReadinessGate)
	c.Flags().DurationVar(&roll, "roll", 0, "replace a pod so often; 0: when told to")
	return c
}

// drill does what lines say until the context ends. The input's end leaves the cluster as it is.
func drill(ctx context.Context, c *apiserver.Cluster, roll time.Duration, in io.Reader, out io.Writer) error {
	lines := make(chan string)
	go func() {
		for s := bufio.NewScanner(in); s.Scan(); {
			select {
			case lines <- s.Text():
			case <-ctx.Done():
				return
			}
		}
	}()
	var tick <-chan time.Time
	if roll > 0 {
		t := time.NewTicker(roll)
		defer t.Stop()
		tick = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
			c.Roll()
		case line := <-lines:
			if err := told(ctx, c, strings.Fields(line), out); err != nil {
				fmt.Fprintln(out, err)
			}
		}
	}
}

// told does one line.
func told(ctx context.Context, c *apiserver.Cluster, words []string, out io.Writer) error {
	if len(words) == 0 {
		return nil
	}
	with := ""
	if len(words) > 1 {
		with = words[1]
	}
	number := func(most int) (int, error) {
		n, err := strconv.Atoi(with)
		if err != nil || n < 0 || n > most {
			return 0, fmt.Errorf("%s wants a number up to %d, not %q", words[0], most, with)
		}
		return n, nil
	}
	var n int
	var err error
	switch words[0] {
	case "roll":
		c.Roll()
	case "scale":
		if n, err = number(5000); err == nil {
			c.Scale(n)
		}
	case "evict":
		if !c.Evict(with) {
			err = fmt.Errorf("no pod %q", with)
		}
	case "cordon", "leave", "uncordon":
		if n, err = number(c.Nodes - 1); err == nil {
			c.Cordon(n, words[0] != "uncordon", words[0] == "leave")
		}
	case "pods":
		fmt.Fprintln(out, strings.Join(c.Live(), " "))
	case "break":
		c.API.BreakWatches()
	case "replay":
		c.API.Replay("pods", 50)
		c.API.Replay("endpointslices", 50)
	case "compact":
		c.API.Compact()
	case "hang":
		d, bad := time.ParseDuration(with)
		if err = bad; err == nil && (d < 0 || d > time.Minute) {
			err = fmt.Errorf("hang wants a time up to 1m, not %q", with)
		}
		if err == nil {
			c.API.Hang(true)
			select {
			case <-ctx.Done():
			case <-time.After(d):
			}
			c.API.Hang(false)
		}
	case "limit":
		if n, err = number(1000); err == nil {
			c.API.Limit(n)
		}
	case "fail":
		if n, err = number(1000); err == nil {
			c.API.Fail(n)
		}
	case "backup":
		c.API.Backup()
	case "restore":
		c.API.Restore()
		c.Repair()
	case "help":
		fmt.Fprintln(out, drillHelp)
	default:
		err = fmt.Errorf("%q is not known; say help", words[0])
	}
	return err
}
