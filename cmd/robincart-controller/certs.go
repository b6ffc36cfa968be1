package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/system/keys"
)

// defaultCertLifetime is how long test certificates are valid.
const defaultCertLifetime = 30 * 24 * time.Hour

// newCertsCommand returns the command that creates certificates for tests.
func newCertsCommand() *cobra.Command {
	var dir string
	var names, hosts []string
	var lifetime time.Duration
	command := &cobra.Command{
		Use:   "certs",
		Short: "Create a certificate authority and certificates for tests only, and discard the authority's key",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := keys.Make(dir, names, hosts, lifetime); err != nil {
				return err
			}
			until := time.Now().Add(lifetime).UTC().Format(time.DateTime)
			fmt.Fprintf(command.OutOrStdout(),
				"%s: wrote ca.pem, and NAME.pem and NAME.key for %s, valid until %s UTC. For tests only.\n",
				dir, strings.Join(names, ", "), until)
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&dir, "dir", ".", "directory that the files are written to")
	flags.StringSliceVar(&names, "names", []string{"controller", "node"}, "names of the certificates")
	flags.StringSliceVar(&hosts, "hosts", nil,
		"host names and addresses that the certificates are valid for, in addition to loopback")
	flags.DurationVar(&lifetime, "for", defaultCertLifetime, "how long the certificates are valid")
	return command
}
