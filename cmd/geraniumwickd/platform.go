package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/entry"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/platform"
)

// platformCommand is the argument that selects the users' platform.
const platformCommand = "platform"

const (
	// claimTTL is how long the store keeps the owner's claim without a renewal.
	claimTTL = 1200 * time.Millisecond
	// drainTime is how long an instance goes on serving after a planned stop began, so that
	// the balancer notices.
	drainTime = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is left unused.
	stopMargin = 700 * time.Millisecond
	// headerTimeout bounds the reading of a call's header.
	headerTimeout = 5 * time.Second
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.5
	// gcPercent trades processor time for a small heap.
	gcPercent = 50
)

// runPlatform serves on the users' platform until SIGTERM.
func runPlatform(log zerolog.Logger) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	log = log.With().Str("instance", s.Name).Logger()
	log.Info().Str("event", "instance.start").Str("data-centre", s.Zone).Send()
	return servePlatform(s, log)
}

func servePlatform(s platform.Settings, log zerolog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := platform.NewStore(s.Platform.Address)
	options := entry.Options{
		Name:        s.Name,
		PeerAddress: s.PeerAddress(),
		Owner:       owner.Options{LeaseTTL: max(claimTTL, s.MinLease()), WorkerLease: s.WorkerLease()},
	}
	instance := entry.New(options, store, platform.Operator{}, platform.NewRunners(log), platform.Registry{}, log)
	peers := peer.NewServer(model.InstanceID(s.Name), log)
	instance.Serve(peers)
	mux := http.NewServeMux()
	mux.Handle("/peer", peers)

	failed := make(chan error, 3)
	front := listen(s.Listen.Front, platform.NewFront(instance, log), failed)
	listen(s.Listen.Ready, platform.Ready(instance), failed)
	listen(s.PeerAddress(), mux, failed)
	go instance.Run(ctx)

	signals := make(chan os.Signal, signalBound)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-failed:
			return err
		case sig := <-signals:
			log.Info().Str("event", "signal.received").Str("signal", sig.String()).Send()
			if sig != syscall.SIGHUP {
				return stopPlatform(instance, front, s, log)
			}
		}
	}
}

// listen serves in the background; a failure is sent to failed.
func listen(address string, h http.Handler, failed chan<- error) *http.Server {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return s
}

// stopPlatform hands over and leaves once the calls under way are answered.
func stopPlatform(i *entry.Instance, front *http.Server, s platform.Settings, log zerolog.Logger) error {
	i.Drain()
	time.Sleep(drainTime)
	front.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace()-drainTime-stopMargin)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		log.Warn().Str("event", "instance.stopped").Err(err).Send()
		return nil
	}
	log.Info().Str("event", "instance.stopped").Send()
	return nil
}
