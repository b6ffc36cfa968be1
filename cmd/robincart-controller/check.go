package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"robincart/internal/controlplane/controller"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Read an operator's file and print what it configures, or every mistake in it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			config, err := readConfig(args[0])
			if err != nil {
				return err
			}
			printConfig(command.OutOrStdout(), config)
			return nil
		},
	}
}

// printConfig prints what a configuration puts in force.
func printConfig(w io.Writer, config controller.Config) {
	fmt.Fprintf(w, "%s follows %s in namespace %s, lease %s for %v\n",
		config.Identity, config.API.Host, config.Namespace, config.LeaseName, config.LeaseDuration)
	for _, service := range config.Services {
		fmt.Fprintf(w, "list %s of service %s, port %q, at %s\n",
			service.ListName, service.ServiceName, service.Port, service.Listen)
	}
	if config.RecordAddress != "" {
		fmt.Fprintf(w, "the record for nodes at %s, %d of them at most\n",
			config.RecordAddress, config.MaxRecordClients)
	}
}
