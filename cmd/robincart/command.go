package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
)

// rootCommand returns the command-line interface for operators.
func rootCommand(caught signals) *cobra.Command {
	var configPath string
	serve := func(*cobra.Command, []string) error {
		if configPath == "" {
			return runPlatform(caught)
		}
		return runFile(configPath, caught)
	}
	root := &cobra.Command{
		Use:           "robincart",
		Short:         "Load balancer for calls between services",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          serve,
	}
	root.PersistentFlags().StringVar(&configPath, "config", "",
		"path of the configuration file; if empty, the platform's configuration is read, which EDGE_CONFIG names")
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve clients (the default command)",
			Args:  cobra.NoArgs,
			RunE:  serve,
		},
		checkCommand(),
		routesCommand(),
		recordCommand(),
		versionCommand(),
	)
	return root
}

// recordCommand returns the command that replaces this process by the store program (exec), with the same arguments.
func recordCommand() *cobra.Command {
	return &cobra.Command{
		Use:                "record",
		Short:              "Create, show, change, save and check the store of record",
		DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, arguments []string) error {
			path, err := findStoreProgram()
			if err != nil {
				return err
			}
			return syscall.Exec(path, append([]string{storeProgramName}, arguments...), os.Environ())
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), version())
		},
	}
}

// version returns the program's name, its version and the source revision that the build recorded.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	parts := []string{"robincart", info.Main.Version, info.GoVersion}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" || setting.Key == "vcs.time" {
			parts = append(parts, setting.Value)
		}
	}
	return strings.Join(parts, " ")
}
