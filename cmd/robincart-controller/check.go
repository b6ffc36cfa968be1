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
		Short: "Validate a configuration file, and print a summary of it or all errors in it",
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

// printConfig prints a summary of a configuration.
func printConfig(w io.Writer, config controller.Config) {
	fmt.Fprintf(w, "%s watches %s in namespace %s, with lease %s of duration %v\n",
		config.Identity, config.API.Host, config.Namespace, config.LeaseName, config.LeaseDuration)
	for _, service := range config.Services {
		fmt.Fprintf(w, "list %s of service %s, port %q, at %s\n",
			service.ListName, service.ServiceName, service.Port, service.Listen)
	}
	if config.RecordAddress != "" {
		fmt.Fprintf(w, "record served to nodes at %s, at most %d clients\n",
			config.RecordAddress, config.MaxRecordClients)
	}
}
