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

// storeVariable is the environment variable with the store's address. The address is not a command-line argument, since
// it may contain a password, and other users can see the arguments of a process.
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

// serve serves a store on a Unix socket. It returns when the process gets SIGTERM or SIGINT, or when standard input
// ends. Standard input is a pipe from the node, and the kernel closes the pipe when the node's process ends.
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
	go func() { // ends when standard input ends, or with the process
		io.Copy(io.Discard, os.Stdin)
		stop()
	}()
	store.Serve(ctx, listener, database)
	return nil
}
