package main

import (
	_ "embed"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/run"
)

//go:embed demo.toml
var demoFile []byte

func demoCommand() *cobra.Command {
	var listen, node string
	var duration time.Duration
	command := &cobra.Command{
		Use:   "demo",
		Short: "A small fleet on loopback with load and a fault now and then, to look at and to call",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			demo, err := experiment.Parse(demoFile, ".")
			if err != nil {
				return err
			}
			demo.Duration = experiment.Duration(duration)
			demo.Fleet.Listen = listen
			if err := demo.Only(demo.Arms); err != nil {
				return err
			}
			if demo.Fleet.Program, err = run.FindProgram(node); err != nil {
				return err
			}
			return run.Demo(command.Context(), demo, command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:3000", "where the node serves")
	registerNodeFlag(command, &node)
	command.Flags().DurationVar(&duration, "for", 10*time.Minute, "how long it goes on by itself, 30m at most")
	return command
}
