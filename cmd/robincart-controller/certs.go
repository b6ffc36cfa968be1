package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/system/keys"
)

// defaultCertLife is how long test certificates are valid.
const defaultCertLife = 30 * 24 * time.Hour

// newCertsCommand makes certificates for tests.
func newCertsCommand() *cobra.Command {
	var dir string
	var names, hosts []string
	var life time.Duration
	command := &cobra.Command{
		Use:   "certs",
		Short: "Make an authority and keys for tests and drills only: its own key is thrown away",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := keys.Make(dir, names, hosts, life); err != nil {
				return err
			}
			until := time.Now().Add(life).UTC().Format(time.DateTime)
			fmt.Fprintf(command.OutOrStdout(),
				"%s: ca.pem, and NAME.pem and NAME.key for %s, until %s. For tests only.\n",
				dir, strings.Join(names, ", "), until)
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&dir, "dir", ".", "the folder of the files")
	flags.StringSliceVar(&names, "names", []string{"controller", "node"}, "names of the certificates")
	flags.StringSliceVar(&hosts, "hosts", nil,
		"names and addresses beside loopback that the certificates are valid for")
	flags.DurationVar(&life, "for", defaultCertLife, "how long they are valid")
	return command
}
