package main

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

// storeVariable is the environment variable with the store's address. The address is not an argument, since it may have
// a password and other users can see arguments.
const storeVariable = "ROBINCART_STORE"

// socketMode is the file mode of the socket: only the node's user has access.
const socketMode = 0o600

func serveCommand() *cobra.Command {
	var socket string
	command := &cobra.Command{
		Use:    "serve",
		Short:  "Serve the store to a node on a Unix socket (started by nodes)",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(*cobra.Command, []string) error {
			return serve(os.Getenv(storeVariable), socket)
		},
	}
	command.Flags().StringVar(&socket, "socket", "", "path of the Unix socket")
	return command
}

// serve serves a store on a Unix socket until the process gets a signal or its standard input ends. Standard input is a
// pipe from the node, which the kernel closes when the node's process ends.
func serve(address, socket string) error {
	if address == "" || socket == "" {
		return errors.New(storeVariable + " (address of the store) and --socket (path of the socket) are required")
	}
	database, err := sqlstore.OpenExisting(address)
	if err != nil {
		return err
	}
	defer database.Close()
	os.Remove(socket) // left by an earlier process
	listener, err := net.Listen("unix", socket)
	if err != nil {
		return err
	}
	if err := os.Chmod(socket, socketMode); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() { // ends with the process at the latest
		io.Copy(io.Discard, os.Stdin)
		stop()
	}()
	store.Serve(ctx, listener, database)
	return nil
}
