// Command standins runs a stand-in for a part of the platform on the loopback interface: the store,
// or the fleet of workers, targets and inventory. It prints one line of JSON with its addresses and
// runs until it is interrupted.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/geraniumwick/geraniumwick/standin/fleet"
	"github.com/geraniumwick/geraniumwick/standin/process"
	"github.com/geraniumwick/geraniumwick/standin/store"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}

// run executes the subcommand.
func run(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("usage: standins store|fleet [flags]")
	}
	switch args[0] {
	case "store":
		return runStore(ctx, args[1:])
	case "fleet":
		return runFleet(ctx, args[1:])
	}
	return fmt.Errorf("unknown subcommand %q, want store or fleet", args[0])
}

// runStore serves the store.
func runStore(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("store", flag.ContinueOnError)
	listeners := flags.Int("listeners", 1, "number of listeners, so that each client can have one of its own")
	if err := flags.Parse(args); err != nil {
		return err
	}
	server := store.NewServer()
	failed := make(chan error, 1)
	var ready process.StoreAddresses
	for n := range *listeners {
		l, err := listen(&ready.Listeners)
		if err != nil {
			return err
		}
		go func() { failed <- server.Serve(l, n) }()
	}
	var control []string
	l, err := listen(&control)
	if err != nil {
		return err
	}
	ready.Control = control[0]
	go func() { failed <- server.ServeControl(l) }()
	go server.Run(ctx)
	return announce(ctx, ready, failed)
}

// runFleet serves workers, targets and inventory.
func runFleet(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	specText := flags.String("spec", "", "specification of the fleet, in JSON")
	if err := flags.Parse(args); err != nil {
		return err
	}
	var spec fleet.Spec
	if err := json.Unmarshal([]byte(*specText), &spec); err != nil {
		return fmt.Errorf("-spec: %w", err)
	}
	f := fleet.New(spec)
	if err := f.Listen(ctx); err != nil {
		return err
	}
	failed := make(chan error, 1)
	var addrs []string
	for _, handler := range []http.Handler{f.InventoryHandler(), f.ControlHandler()} {
		l, err := listen(&addrs)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
		go func() { failed <- server.Serve(l) }()
	}
	return announce(ctx, process.FleetAddresses{Inventory: addrs[0], Control: addrs[1]}, failed)
}

// listen opens a listener on the loopback interface and appends its address.
func listen(addrs *[]string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	*addrs = append(*addrs, l.Addr().String())
	return l, nil
}

// announce prints the addresses, then waits until ctx ends or a server fails.
func announce(ctx context.Context, ready any, failed <-chan error) error {
	if err := json.NewEncoder(os.Stdout).Encode(ready); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}
