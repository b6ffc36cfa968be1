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

// storeVariable is the environment variable with the store's address: other users can see arguments, and the address
// may have a password.
const storeVariable = "ROBINCART_STORE"

// socketMode is the file mode of the socket: it is the node's own.
const socketMode = 0o600

func serveCommand() *cobra.Command {
	var socket string
	command := &cobra.Command{
		Use:    "serve",
		Short:  "Serve the store to a node on a Unix socket (nodes start it themselves)",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(*cobra.Command, []string) error {
			return serve(os.Getenv(storeVariable), socket)
		},
	}
	command.Flags().StringVar(&socket, "socket", "", "where")
	return command
}

// serve serves a store on a Unix socket until the process gets a signal or its standard input ends: that is a pipe from
// the node, which closes when the node ends, however it ends.
func serve(address, socket string) error {
	if address == "" || socket == "" {
		return errors.New(storeVariable + " and --socket name the store and the socket")
	}
	database, err := sqlstore.OpenExisting(address)
	if err != nil {
		return err
	}
	defer database.Close()
	os.Remove(socket) // of a process before
	listener, err := net.Listen("unix", socket)
	if err != nil {
		return err
	}
	if err := os.Chmod(socket, socketMode); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() { // ends with the process
		io.Copy(io.Discard, os.Stdin)
		stop()
	}()
	store.Serve(ctx, listener, database)
	return nil
}
