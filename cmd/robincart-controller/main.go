// Command robincart-controller follows a cluster manager's API and publishes lists of servers to robincart's nodes, by
// the discovery protocol that they speak. It reads the operator's file and wires what package controller needs.
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
		Short:         "Lists of servers from a cluster manager, for robincart's nodes",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          runE,
	}
	root.PersistentFlags().StringVar(&path, "config", "", "the operator's file")
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		&cobra.Command{
			Use:   "run",
			Short: "Follow the API and serve nodes (the default command)",
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
		return errors.New("--config is missing: it names the operator's file")
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
	// The client library's own log is dropped: the controller logs each lost watch once, not each attempt.
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
