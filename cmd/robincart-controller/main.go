// Command robincart-controller watches a cluster manager's API and publishes lists of servers to robincart's nodes,
// over the discovery protocol. It reads the configuration file and runs package controller.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"k8s.io/klog/v2"

	"robincart/internal/controlplane/controller"
)

func main() {
	signal.Ignore(syscall.SIGPIPE)
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "robincart-controller:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var path string
	runE := func(*cobra.Command, []string) error { return run(path) }
	root := &cobra.Command{
		Use:           "robincart-controller",
		Short:         "Publish lists of a cluster manager's servers to robincart's nodes",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          runE,
	}
	root.PersistentFlags().StringVar(&path, "config", "", "path of the configuration file")
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		&cobra.Command{
			Use:   "run",
			Short: "Watch the API and serve nodes (the default command)",
			Args:  cobra.NoArgs,
			RunE:  runE,
		},
		newCheckCommand(),
		newCertsCommand(),
	)
	return root
}

// run runs the controller until SIGTERM or an interrupt.
func run(path string) error {
	if path == "" {
		return errors.New("--config is missing: expected the path of the configuration file")
	}
	config, err := readConfig(path)
	if err != nil {
		return err
	}
	log, err := newLogger(config.Identity)
	if err != nil {
		return err
	}
	defer log.Sync()
	// Discard the client library's own log: the controller logs each lost watch once, not each attempt to restore it.
	klog.SetOutput(io.Discard)
	klog.LogToStderr(false)
	replica, err := controller.New(config, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log.Info("controller started", zap.String("api", config.API.Host), zap.Int("services", len(config.Services)))
	return replica.Run(ctx)
}

func newLogger(identity string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.DisableStacktrace = true
	return config.Build(zap.Fields(zap.String("controller", identity)))
}
