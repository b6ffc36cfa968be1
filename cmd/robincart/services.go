package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/core/routes"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/dataplane/services"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
	"robincart/internal/system/keys"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// root is the command line, for people.
func root(sig signals) *cobra.Command {
	var file string
	c := &cobra.Command{Use: "robincart", Short: "A load balancer for services that call services", SilenceUsage: true, SilenceErrors: true,
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return serve(file, sig) }}
	c.PersistentFlags().StringVar(&file, "config", "", "the operator's file; without one, EDGE_CONFIG names the platform's")
	c.CompletionOptions.DisableDefaultCmd = true
	c.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve (what happens without a command, too)", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return serve(file, sig) }},
		&cobra.Command{Use: "check FILE", Short: "Read an operator's file and print what would be in force, or every mistake in it", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error { return check(c, args[0]) }},
		routesCommand(),
		recordCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), version())
		}})
	return c
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	out := []string{"robincart", info.Main.Version, info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.time" {
			out = append(out, s.Value)
		}
	}
	return strings.Join(out, " ")
}

func serve(file string, sig signals) error {
	if file == "" {
		return platform(sig)
	}
	return runServices(file, sig)
}

// readOperators reads an operator's file for this process.
func readOperators(file string) (*nodeconfig.Config, error) {
	most := files()
	return reading(func() (*nodeconfig.Config, error) { return nodeconfig.Read(file, most) })
}

// runServices is the node with an operator's file: several services behind one set of sockets.
func runServices(file string, sig signals) error {
	c, err := starting(func() (*nodeconfig.Config, error) { return readOperators(file) })
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(c.Log.Level)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	log := newLog(c.Log.Format, level, c.Name)
	defer log.Sync()
	l := c.Limits
	process(l)
	var listeners []net.Listener
	for _, addr := range c.Listen {
		ln, err := socket.Listen("tcp", addr)
		if err != nil {
			for _, open := range listeners {
				open.Close()
			}
			return fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, ln)
	}
	gateways, err := openGateways(c)
	if err != nil {
		for _, open := range listeners {
			open.Close()
		}
		return err
	}
	clk := clock{time.Now()}
	budget := limits.NewBudget(l.Descriptors, l.OverloadConnections, limits.NewMemoryBudget(l.BodyMemory))
	budget.SetMaxClients(l.MaxClientConnections)
	var watch *poller.Poller
	err = socket.RetryTransient(func() (err error) {
		watch, err = poller.New()
		return err
	})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer watch.Close()
	recorder := telemetry.NewRecorder(log, newTrace(os.Getenv, c.Name))
	front := frontend.New(l, budget, clk.Now, log, watch)
	front.SetRecorder(recorder)
	set := services.New(c, clk, budget, log, watch)
	set.Telemetry = recorder
	ops := newOperations(front, set.Cores, log)
	if c.Admin.StateFile != "" {
		ops.file = newOperatorFile(c.Admin.StateFile, log)
		ops.restore()
	}
	set.OnServiceStart = ops.begun
	if c.Keys.Enabled() {
		if set.Keys, err = keys.Open(c.Keys, log); err != nil {
			set.Close()
			return err
		}
		set.Go(set.Keys.Run)
	}
	written := c // the file alone
	var facts <-chan struct{}
	if c.Record.Store != "" {
		kept, end, err := keep(c, set.Keys, log)
		if err != nil {
			set.Close()
			return err
		}
		defer end()
		set.RecordCache, facts = kept, kept.Changes()
		c = over(c, kept, c, log)
	}
	front.SetTable(set.Apply(c))
	closeAdmin, err := operated(c.Admin.Listen, ops, log)
	if err != nil {
		set.Close()
		return err
	}
	log.Info("serving", zap.Strings("listen", c.Listen), zap.Int("services", len(c.Pools)), zap.Int("descriptors", l.Descriptors),
		zap.Int64("memory", l.MemoryLimit))
	s := &served{front: front, listeners: listeners, limits: l, log: log, telemetry: recorder, open: set.InFlight,
		serving: func() {
			for _, d := range gateways {
				front.ServeGateways(d.ln, d.way)
			}
			ops.taking.Store(true)
		},
		close: func() {
			closeAdmin()
			set.Close()
		},
		reload: func() error {
			fresh, err := readOperators(file)
			var unreadable *UnreadableError
			switch {
			case errors.As(err, &unreadable):
				return err
			case err != nil:
				log.Error("the new configuration can't be used; the old one stays", zap.Strings("mistakes", strings.Split(err.Error(), "\n")))
				return nil
			}
			if waits := fresh.KeepProcessSettings(c); len(waits) > 0 {
				log.Warn("some of the new configuration waits for a restart", zap.Strings("keys", waits))
			}
			written = fresh
			c = over(written, set.RecordCache, c, log)
			front.SetTable(set.Apply(c))
			return nil
		},
		news: facts, took: func() {
			if fresh := over(written, set.RecordCache, c, log); fresh != c {
				c = fresh
				front.SetTable(set.Apply(c))
			}
		}}
	s.until(sig)
	return nil
}

// gatewayListener is one listener for gateways that speak FastCGI.
type gatewayListener struct {
	ln  net.Listener
	way *frontend.Gateway
}

// openGateways listens where gateways that speak FastCGI are to be served.
func openGateways(c *nodeconfig.Config) (all []gatewayListener, err error) {
	for _, g := range c.Gateways {
		network, addr := "tcp", g.Listen
		if path, unix := strings.CutPrefix(g.Listen, "unix:"); unix {
			network, addr = "unix", path
			// What a killed process has left is in the way; what is no socket, or serves, is somebody's.
			if other, err := net.Dial(network, addr); err == nil {
				other.Close()
				err = fmt.Errorf("listen %s: another process serves there", g.Listen)
				return nil, errors.Join(err, closeGateways(all))
			} else if info, err := os.Lstat(addr); err == nil && info.Mode()&os.ModeSocket != 0 {
				os.Remove(addr)
			}
		}
		ln, err := socket.Listen(network, addr)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("listen: %w", err), closeGateways(all))
		}
		all = append(all, gatewayListener{ln, &frontend.Gateway{Trace: g.Params.TraceID, Class: g.Params.Class, Tenant: g.Params.Tenant, Key: g.Params.IdempotencyKey, Left: g.Params.TimeLeft,
			DefaultTenant: g.DefaultTenant, DefaultTimeLeft: time.Duration(g.DefaultTimeLeft), Overloaded: g.Overloaded, AdvertisedRequests: c.Limits.MaxRequests}})
	}
	return all, nil
}

func closeGateways(all []gatewayListener) (err error) {
	for _, g := range all {
		err = errors.Join(err, g.ln.Close())
	}
	return err
}

// check prints what a file would put in force.
func check(c *cobra.Command, file string) error {
	f, err := nodeconfig.Read(file, 0)
	if err != nil {
		return err
	}
	w := c.OutOrStdout()
	fmt.Fprintf(w, "%s listens on %s; %d connections of callers, %d requests at once, %d connections to servers, %d MB for bodies\n", f.Name, strings.Join(f.Listen, ", "), f.Limits.MaxClientConnections,
		f.Quota.Total[quota.InFlight], f.Quota.Total[quota.Connections], f.Quota.Total[quota.BodyBytes]>>20)
	for _, g := range f.Gateways {
		fmt.Fprintf(w, "gateways that speak FastCGI at %s\n", g.Listen)
	}
	for _, p := range f.Pools {
		from := "discovery at " + p.Discovery
		if p.Discovery == "" {
			from = fmt.Sprintf("%d servers", len(p.Servers))
		}
		methods := []string{}
		for _, m := range p.Methods {
			methods = append(methods, fmt.Sprintf("%s (%s, %v)", m.Name, m.Idempotency, time.Duration(m.Deadline)))
		}
		part := "no bounds"
		if !f.Sharing.Off {
			part = fmt.Sprintf("%d requests guaranteed, %d of them never lent, weight %g", int(p.Guarantee*float64(f.Quota.Total[quota.InFlight])),
				int(p.Guarantee*f.Quota.ReservedFraction*float64(f.Quota.Total[quota.InFlight])), p.Weight)
		}
		fmt.Fprintf(w, "service %s: %s; %s; methods %s\n", p.Name, from, part, strings.Join(methods, ", "))
	}
	for _, r := range f.Table.Rules() {
		fmt.Fprintf(w, "route %s\n", describe(r, f))
	}
	return nil
}

// describe is a route in words.
func describe(r routes.Rule, f *nodeconfig.Config) string {
	parts := []string{}
	if r.Host != "" {
		parts = append(parts, "host "+r.Host)
	}
	if r.Path != "" {
		parts = append(parts, "path "+r.Path)
	}
	if r.Class != "" {
		parts = append(parts, "class "+r.Class)
	}
	switch {
	case r.Any:
		parts = append(parts, "header "+r.Header+" present")
	case r.Header != "":
		parts = append(parts, fmt.Sprintf("header %s is %q", r.Header, r.Value))
	}
	if len(parts) == 0 {
		parts = []string{"anything"}
	}
	to := []string{}
	for _, x := range r.To {
		name := f.Pools[x.Service].Name
		if len(r.To) > 1 {
			name = fmt.Sprintf("%s (%g)", name, x.Weight)
		}
		to = append(to, name)
	}
	out := fmt.Sprintf("%s: %s -> %s", r.Name, strings.Join(parts, ", "), strings.Join(to, " or "))
	if len(r.To) > 1 {
		out += " by " + r.By
	}
	return out
}

// routesCommand tells where a request would go.
func routesCommand() *cobra.Command {
	var target, host, class, tenant, trace, mark string
	var headers []string
	c := &cobra.Command{Use: "routes FILE", Short: "Tell which service a request goes to, and why; without a request, list the routes", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := nodeconfig.Read(args[0], 0)
			if err != nil {
				return err
			}
			w := c.OutOrStdout()
			if target == "" && host == "" {
				for _, r := range f.Table.Rules() {
					fmt.Fprintln(w, describe(r, f))
				}
				return nil
			}
			q := &httpwire.Request{Target: target, Host: host, Method: class, Tenant: tenant, TraceID: trace, IdempotencyKey: mark, Header: map[string][]string{}}
			if q.Path, _, _ = strings.Cut(target, "?"); q.Path == "" {
				q.Path = "/"
			}
			for _, h := range headers {
				name, value, ok := strings.Cut(h, ":")
				if !ok {
					return fmt.Errorf("--header %q is no \"Name: value\"", h)
				}
				q.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
			}
			look, err := services.RouteRequest(q)
			if err != nil {
				fmt.Fprintf(w, "400: %v\n", err)
				return nil
			}
			rule, service, ok := f.Table.Find(&look)
			if !ok {
				fmt.Fprintln(w, "404: no route takes it")
				return nil
			}
			fmt.Fprintf(w, "service %s, by route %s\n", f.Pools[service].Name, describe(f.Table.Rules()[rule], f))
			for i, r := range f.Table.Rules() {
				alone, err := routes.Compile([]routes.Rule{r}, len(f.Pools))
				if _, _, ok := alone.Find(&look); err == nil && ok && i != rule {
					fmt.Fprintf(w, "  it goes before %s\n", describe(r, f))
				}
			}
			return nil
		}}
	c.Flags().StringVar(&target, "path", "", "the request's path")
	c.Flags().StringVar(&host, "host", "", "its Host")
	c.Flags().StringVar(&class, "class", "", "its class ("+httpwire.HeaderMethod+")")
	c.Flags().StringVar(&tenant, "tenant", "", "its tenant ("+httpwire.HeaderTenant+")")
	c.Flags().StringVar(&trace, "trace", "", "its id ("+httpwire.HeaderTraceID+")")
	c.Flags().StringVar(&mark, "mark", "", "its mark ("+httpwire.HeaderIdempotencyKey+")")
	c.Flags().StringArrayVar(&headers, "header", nil, "a header, \"Name: value\"; may stand several times")
	return c
}
