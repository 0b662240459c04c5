package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

const (
	defaultListen   = "127.0.0.1:0"
	shutdownTimeout = 2 * time.Second
	headerTimeout   = 10 * time.Second
)

// ready is the line printed when the server is listening.
type ready struct {
	Role    string `json:"role"`
	Address string `json:"address"`
	PID     int    `json:"pid"`
}

// listenFlag adds the --listen flag, which all roles have.
func listenFlag(c *cobra.Command) *string {
	return c.Flags().String("listen", defaultListen, "address to listen on; port 0 picks a free port")
}

// serve serves h until SIGTERM or SIGINT.
func serve(role, address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "%s", role)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	line := ready{Role: role, Address: listener.Addr().String(), PID: os.Getpid()}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdown) != nil {
		return server.Close()
	}
	return nil
}
