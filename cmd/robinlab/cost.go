package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/cost"
	"robincart/internal/lab/run"
)

// programs are the nodes to be compared, each given as NAME=PATH or a path alone.
func programs(given []string) (names, paths []string, err error) {
	if len(given) == 0 {
		given = []string{"node="}
	}
	for _, g := range given {
		name, path, named := strings.Cut(g, "=")
		if !named {
			name, path = g, g
		}
		if path, err = run.FindProgram(path); err != nil {
			return nil, nil, err
		}
		names, paths = append(names, name), append(paths, path)
	}
	return names, paths, nil
}

func costCommand() *cobra.Command {
	var given []string
	var servers, cores, callers []int
	var seconds time.Duration
	var churn, rounds, mb int
	var rates []int
	var seed uint64
	c := &cobra.Command{Use: "cost", Short: "CPU and memory of a node an RPC, by servers, cores and callers, several programs in turns; latency added at given rates",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			names, paths, err := programs(given)
			if err != nil {
				return err
			}
			if seconds < 100*time.Millisecond || rounds < 1 || churn < 0 || mb < 16 {
				return fmt.Errorf("--for must be 100ms or more, --rounds 1 or more, --churn 0 or more, --memory 16 or more")
			}
			for _, list := range [][]int{servers, cores, callers} {
				for _, n := range list {
					if n < 1 || n > 1e6 {
						return fmt.Errorf("--servers, --cores and --callers must be between 1 and a million")
					}
				}
			}
			run.RaiseDescriptors()
			if len(rates) > 0 {
				one := func(flag string, list []int, otherwise int) int {
					if !c.Flags().Changed(flag) {
						return otherwise
					}
					return list[0]
				}
				for _, list := range [][]int{servers, cores, callers} {
					if len(list) == 0 {
						return fmt.Errorf("--servers, --cores and --callers need a number")
					}
				}
				r := &cost.Rate{Names: names, Paths: paths, Rates: rates, Callers: one("callers", callers, 64), For: seconds, Rounds: rounds, Seed: seed,
					Shape: cost.Shape{Servers: one("servers", servers, 15), Cores: one("cores", cores, 1), MemoryMB: mb, Sockets: 16000, Churn: churn}}
				return playRate(c, r)
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprint(t, "program\tservers\tcores\tcallers\tok/s\tCPU µs/RPC\tpushed back\tfailed\tp50\tp99\tidle MB\tbusy MB\tmost MB\t\n")
			for _, k := range cores {
				for _, n := range callers {
					for _, s := range servers {
						for range rounds {
							for i, path := range paths {
								l := cost.Load{Name: names[i], Callers: n, For: seconds, Shape: cost.Shape{Program: path, Servers: s, Cores: k,
									MemoryMB: mb, Sockets: 16000, Churn: churn}}
								if err := l.Play(c.Context()); err != nil {
									return fmt.Errorf("%s with %d servers: %w", names[i], s, err)
								}
								mb := func(n int64) float64 { return float64(n) / (1 << 20) }
								fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.0f\t%.1f\t%.4f\t%d\t%v\t%v\t%.1f\t%.1f\t%.1f\t\n", l.Name, s, k, n, l.Rate, l.CPU, l.PushedBack, l.Failed,
									l.P50, l.P99, mb(l.Idle), mb(l.Busy), mb(l.Max))
							}
						}
					}
				}
			}
			return t.Flush()
		}}
	c.Flags().StringSliceVar(&given, "programs", nil, "nodes to compare, as NAME=PATH,...")
	c.Flags().IntSliceVar(&servers, "servers", []int{16, 100, 400, 5000}, "servers")
	c.Flags().IntSliceVar(&cores, "cores", []int{1}, "the node's cores")
	c.Flags().IntSliceVar(&callers, "callers", []int{64}, "callers, each asking one RPC after another")
	c.Flags().DurationVar(&seconds, "for", 3*time.Second, "measured time of each; a third of it goes before")
	c.Flags().IntVar(&churn, "churn", 0, "servers that leave and come a second")
	c.Flags().IntVar(&rounds, "rounds", 1, "times that each is measured, the programs in turns")
	c.Flags().IntVar(&mb, "memory", 64, "memory_mb of the node")
	c.Flags().IntSliceVar(&rates, "rate", nil, "calls a second, open loop, beside callers straight to 15 servers and a relay that only copies bytes; 0: as many as the callers get through")
	c.Flags().Uint64Var(&seed, "seed", 1, "of the plan, with --rate")
	return c
}

func idleCommand() *cobra.Command {
	var given []string
	var connections []int
	var seconds, expire time.Duration
	var rate, sockets, requests, mb int
	c := &cobra.Command{Use: "idle", Short: "Memory of idle connections, and how a few at work fare beside them, through a wave and a second of timers",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			names, paths, err := programs(given)
			if err != nil {
				return err
			}
			if seconds < time.Second || rate < 1 || requests < 0 || expire < 0 || mb < 16 {
				return fmt.Errorf("--for must be 1s or more, --rate 1 or more, --requests and --expire 0 or more, --memory 16 or more")
			}
			run.RaiseDescriptors()
			out := c.OutOrStdout()
			for _, n := range connections {
				if n < 10 || n > 1e6 {
					return fmt.Errorf("--connections must be between 10 and a million")
				}
				for i, path := range paths {
					l := cost.Idle{Name: names[i], Connections: n, Rate: rate, For: seconds, Expire: expire,
						Shape: cost.Shape{Program: path, Servers: 16, Cores: 1, MemoryMB: mb, Sockets: sockets}}
					if requests > 0 {
						l.More = fmt.Sprintf("[callers]\nrequests = %d\nconnections = %d\n", requests, n+n/10+200)
						if expire > 0 {
							l.More += fmt.Sprintf("idle = %q\n", expire)
						}
					} else {
						l.Expire = 0 // the platform's form has no such key
					}
					if err := l.Play(c.Context()); err != nil {
						return fmt.Errorf("%s with %d connections: %w", names[i], n, err)
					}
					fmt.Fprintf(out, "%s, %d connections: %.0f bytes of the node each, %.0f of the kernel a socket (both ends' slab); %.1f MB at most\n", l.Name, n,
						l.Bytes, l.Kernel, float64(l.Most)/(1<<20))
					t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
					fmt.Fprint(t, "phase\tasked\tok\tp50\tp99\tworst\tp99 against none\t\n")
					for _, p := range l.Phases {
						fmt.Fprintf(t, "%s\t%d\t%d\t%v\t%v\t%v\t%.2f\t\n", p.Name, p.Asked, p.OK, p.P50, p.P99, p.Worst, float64(p.P99)/float64(l.Phases[0].P99))
					}
					t.Flush()
					fmt.Fprintf(out, "the wave: %d ok, %d pushed back, %d neither (half of them drip)\n", l.WaveOK, l.WavePushed, l.WaveOther)
					fmt.Fprintf(out, "from SIGTERM to the end: %v\n", l.End.Round(time.Millisecond))
					if l.Expire > 0 {
						fmt.Fprintf(out, "open still 3 s after the second of timers: %d\n", l.ExpiredLeft)
					}
				}
			}
			return nil
		}}
	c.Flags().StringSliceVar(&given, "programs", nil, "nodes to compare, as NAME=PATH,...")
	c.Flags().IntSliceVar(&connections, "connections", []int{1000, 10000}, "idle connections")
	c.Flags().DurationVar(&seconds, "for", 5*time.Second, "time of each phase")
	c.Flags().DurationVar(&expire, "expire", 0, "also play a second in which all idle connections' times end, so long after they rested")
	c.Flags().IntVar(&rate, "rate", 500, "RPCs a second of those at work")
	c.Flags().IntVar(&sockets, "sockets", 19900, "machine.sockets of the node")
	c.Flags().IntVar(&requests, "requests", 0, "write an operator's file with so many requests at once; 0: the platform's form")
	c.Flags().IntVar(&mb, "memory", 512, "memory_mb of the node")
	return c
}
