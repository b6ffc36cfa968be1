// Command robincart-controller follows a cluster manager's API and tells robincart's nodes which servers there are, by the
// discovery protocol that they speak.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"k8s.io/client-go/rest"
	"k8s.io/client-go/tools/clientcmd"
	"k8s.io/klog/v2"

	"robincart/internal/controlplane/controller"
	"robincart/internal/controlplane/fanout"
	"robincart/internal/controlplane/membership"
	"robincart/internal/record/store/sqlstore"
	"robincart/internal/system/keys"
	"robincart/internal/system/tomlfile"
)

// file is the operator's, as it is written.
type file struct {
	Identity string `toml:"identity"`
	Status   string `toml:"status"`
	API      struct {
		Server     string `toml:"server"`
		TokenFile  string `toml:"token_file"`
		CAFile     string `toml:"ca_file"`
		CertFile   string `toml:"cert_file"`
		KeyFile    string `toml:"key_file"`
		Kubeconfig string `toml:"kubeconfig"`
		Namespace  string `toml:"namespace"`
	} `toml:"api"`
	Leader struct {
		Lease string            `toml:"lease"`
		Hold  tomlfile.Duration `toml:"hold"`
	} `toml:"leader"`
	Membership struct {
		Flap      *tomlfile.Duration `toml:"flap"`
		FlapMost  *tomlfile.Duration `toml:"flap_most"`
		ShrinkAt  *float64           `toml:"shrink_at"`
		ShrinkFor *tomlfile.Duration `toml:"shrink_for"`
		Forget    *tomlfile.Duration `toml:"forget"`
		ColdFor   *tomlfile.Duration `toml:"cold_for"`
		ColdMost  *float64           `toml:"cold_most"`
		Cordons   bool               `toml:"cordons"`
	} `toml:"membership"`
	Fanout struct {
		History  int `toml:"history"`
		Watchers int `toml:"watchers"`
	} `toml:"fanout"`
	Keys   keys.Files `toml:"keys"` // towards nodes
	Record struct {
		Store   string `toml:"store"`
		Listen  string `toml:"listen"`
		Callers int    `toml:"callers"`
	} `toml:"record"`
	Service []struct {
		Name    string `toml:"name"`
		Service string `toml:"service"`
		Port    string `toml:"port"`
		Listen  string `toml:"listen"`
	} `toml:"service"`
}

// mostServices is how many lists a controller tells: each has a listener and its watchers.
const mostServices = 1000

func main() {
	signal.Ignore(syscall.SIGPIPE)
	var path string
	run := func(*cobra.Command, []string) error { return serve(path) }
	root := &cobra.Command{Use: "robincart-controller", Short: "Lists of servers from a cluster manager, for robincart's nodes", SilenceUsage: true, SilenceErrors: true,
		Args: cobra.NoArgs, RunE: run}
	root.PersistentFlags().StringVar(&path, "config", "", "the operator's file")
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(&cobra.Command{Use: "run", Short: "Follow and serve (what happens without a command, too)", Args: cobra.NoArgs, RunE: run},
		&cobra.Command{Use: "check FILE", Short: "Read an operator's file and say what would be in force, or every mistake in it", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				k, err := read(args[0])
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s follows %s in namespace %s, lease %s for %v\n", k.Identity, k.API.Host, k.Namespace, k.LeaseName, k.LeaseDuration)
				for _, s := range k.Services {
					fmt.Fprintf(c.OutOrStdout(), "list %s of service %s, port %q, at %s\n", s.ListName, s.ServiceName, s.Port, s.Listen)
				}
				if k.RecordAddress != "" {
					fmt.Fprintf(c.OutOrStdout(), "the record for nodes at %s, %d of them at most\n", k.RecordAddress, k.MaxRecordClients)
				}
				return nil
			}}, certs())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "robincart-controller:", err)
		os.Exit(1)
	}
}

// certs makes keys to try things with.
func certs() *cobra.Command {
	var dir string
	var names, hosts []string
	var life time.Duration
	c := &cobra.Command{Use: "certs", Short: "Make an authority and keys for tests and drills only: its own key is thrown away", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := keys.Make(dir, names, hosts, life); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: ca.pem, and NAME.pem and NAME.key for %s, until %s. For tests only.\n", dir, strings.Join(names, ", "),
				time.Now().Add(life).UTC().Format(time.DateTime))
			return nil
		}}
	c.Flags().StringVar(&dir, "dir", ".", "where")
	c.Flags().StringSliceVar(&names, "names", []string{"controller", "node"}, "whose")
	c.Flags().StringSliceVar(&hosts, "hosts", nil, "names and addresses beside loopback that they are good for")
	c.Flags().DurationVar(&life, "for", 30*24*time.Hour, "how long")
	return c
}

func serve(path string) error {
	if path == "" {
		return errors.New("--config is missing: it names the operator's file")
	}
	c, err := read(path)
	if err != nil {
		return err
	}
	logs := zap.NewProductionConfig()
	logs.DisableStacktrace = true
	log, err := logs.Build(zap.Fields(zap.String("controller", c.Identity)))
	if err != nil {
		return err
	}
	defer log.Sync()
	klog.SetOutput(quiet{}) // the client library's own words; faults are told by this program, once
	klog.LogToStderr(false)
	k, err := controller.New(c, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log.Info("following", zap.String("api", c.API.Host), zap.Int("services", len(c.Services)))
	return k.Run(ctx)
}

type quiet struct{}

func (quiet) Write(p []byte) (int, error) { return len(p), nil }

// read reads and checks a file. The error holds every mistake.
func read(path string) (controller.Config, error) {
	var c controller.Config
	text, err := tomlfile.Read(path, 1<<20)
	if err != nil {
		return c, err
	}
	var f file
	if err := tomlfile.Decode(text, &f); err != nil {
		return c, fmt.Errorf("%s:\n%w", path, err)
	}
	host, _ := os.Hostname()
	tomlfile.Default(&f.Identity, host)
	tomlfile.Default(&f.API.Namespace, "default")
	tomlfile.Default(&f.Leader.Lease, "robincart-controller")
	tomlfile.Default(&f.Leader.Hold, tomlfile.Duration(6*time.Second))
	c = controller.Config{Namespace: f.API.Namespace, Identity: f.Identity, LeaseName: f.Leader.Lease, LeaseDuration: f.Leader.Hold.Std(), StatusAddress: f.Status,
		Membership: membership.DefaultConfig(), Fanout: fanout.DefaultConfig()}
	var all []error
	bad := func(is bool, format string, args ...any) {
		if is {
			all = append(all, fmt.Errorf(format, args...))
		}
	}
	m := &c.Membership
	for to, from := range map[*float64]*tomlfile.Duration{&m.FlapDelay: f.Membership.Flap, &m.MaxFlapDelay: f.Membership.FlapMost, &m.ShrinkHold: f.Membership.ShrinkFor,
		&m.ForgetAfter: f.Membership.Forget, &m.SlowStartDuration: f.Membership.ColdFor} {
		if from != nil {
			*to = from.Std().Seconds()
		}
	}
	for to, from := range map[*float64]*float64{&m.MaxShrinkFraction: f.Membership.ShrinkAt, &m.MaxSlowStartFraction: f.Membership.ColdMost} {
		if from != nil {
			*to = *from
		}
	}
	m.DrainCordoned = f.Membership.Cordons
	if c.Keys = f.Keys; c.Keys.Validate() != nil {
		bad(true, "keys: %w", c.Keys.Validate())
	}
	if f.Record.Store != "" {
		if c.Store, err = sqlstore.OpenExisting(f.Record.Store); err != nil {
			bad(true, "record.store: %w", err)
		}
	}
	tomlfile.Default(&f.Record.Callers, 5000)
	c.RecordAddress, c.MaxRecordClients = f.Record.Listen, f.Record.Callers
	if c.RecordAddress != "" {
		host, _, err := net.SplitHostPort(c.RecordAddress)
		ip := net.ParseIP(host)
		bad(err != nil, "record.listen: %q is no address with a port", c.RecordAddress)
		bad(f.Record.Store == "", "record.listen: there is no record.store to tell of")
		// Who may call writes drains: nobody may who shows no key.
		bad(err == nil && !c.Keys.Enabled() && (ip == nil || !ip.IsLoopback()), "record.listen: without [keys] it has to be a loopback address, and %s is none", host)
	}
	bad(f.Record.Callers < 0, "record.callers: it must not be negative")
	if err := m.Validate(); err != nil {
		all = append(all, fmt.Errorf("membership: %w", err))
	}
	if f.Fanout.History > 0 {
		c.Fanout.History = f.Fanout.History
	}
	if f.Fanout.Watchers > 0 {
		c.Fanout.MaxWatchers = f.Fanout.Watchers
	}
	bad(f.Fanout.History < 0 || f.Fanout.Watchers < 0, "fanout: history and watchers must not be negative")
	bad(c.LeaseDuration < time.Second, "leader.hold: %v is below 1s", c.LeaseDuration)
	bad(len(f.Service) == 0, "service: there is none")
	if len(f.Service) > mostServices {
		return c, fmt.Errorf("%s:\nservice: %d are more than %d", path, len(f.Service), mostServices)
	}
	var names, listens, services []string
	for i, s := range f.Service {
		tomlfile.Default(&s.Service, s.Name)
		bad(s.Name == "", "service[%d].name is missing", i+1)
		bad(slices.Contains(names, s.Name), "service[%d].name: %s stands twice", i+1, s.Name)
		bad(slices.Contains(services, s.Service), "service[%d].service: %s stands twice", i+1, s.Service)
		bad(slices.Contains(listens, s.Listen), "service[%d].listen: %s stands twice", i+1, s.Listen)
		_, _, err := net.SplitHostPort(s.Listen)
		bad(err != nil, "service[%d].listen: %q is no address with a port", i+1, s.Listen)
		names, listens, services = append(names, s.Name), append(listens, s.Listen), append(services, s.Service)
		c.Services = append(c.Services, controller.Service{ListName: s.Name, ServiceName: s.Service, Port: s.Port, Listen: s.Listen})
	}
	if f.Status != "" {
		_, _, err := net.SplitHostPort(f.Status)
		bad(err != nil, "status: %q is no address with a port", f.Status)
	}
	switch {
	case f.API.Kubeconfig != "":
		bad(f.API.Server != "", "api: kubeconfig and server exclude each other")
		api, err := clientcmd.BuildConfigFromFlags("", f.API.Kubeconfig)
		bad(err != nil, "api.kubeconfig: %v", err)
		c.API = api
	case f.API.Server != "":
		c.API = &rest.Config{Host: f.API.Server, BearerTokenFile: f.API.TokenFile,
			TLSClientConfig: rest.TLSClientConfig{CAFile: f.API.CAFile, CertFile: f.API.CertFile, KeyFile: f.API.KeyFile}}
		for name, p := range map[string]string{"token_file": f.API.TokenFile, "ca_file": f.API.CAFile, "cert_file": f.API.CertFile, "key_file": f.API.KeyFile} {
			if p != "" {
				_, err := os.Stat(p)
				bad(err != nil, "api.%s: %v", name, err)
			}
		}
	default:
		api, err := rest.InClusterConfig()
		bad(err != nil, "api: neither server nor kubeconfig is set, and this is no pod of a cluster: %v", err)
		c.API = api
	}
	if len(all) > 0 {
		return c, fmt.Errorf("%s:\n%w", path, errors.Join(all...))
	}
	return c, nil
}
