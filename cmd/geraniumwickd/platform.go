package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/entry"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/logging"
	"github.com/geraniumwick/geraniumwick/internal/metrics"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/platform"
)

// platformCommand is the argument that selects the users' platform.
const platformCommand = "platform"

// checkCommand is the argument that checks a settings file of the platform.
const checkCommand = "check-settings"

const (
	// claimTTL is how long the store keeps the owner's claim without a renewal.
	claimTTL = 1200 * time.Millisecond
	// drainTime is how long an instance goes on serving after a planned stop began, so that
	// the balancer notices.
	drainTime = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is left unused.
	stopMargin = 700 * time.Millisecond
	// maxWorkerLease bounds the leases of tasks: what runs on a lost worker waits for its end.
	maxWorkerLease = 6 * time.Second
	// keepFactor is how many times as long as asked for an ended job stays known.
	keepFactor = 2
	// logFlush bounds the writing of the last log lines.
	logFlush = 300 * time.Millisecond
	// settingsInterval is the pause between two looks at the settings file.
	settingsInterval = 500 * time.Millisecond
	// headerTimeout bounds the reading of a call's header.
	headerTimeout = 5 * time.Second
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.5
	// gcPercent trades processor time for a small heap.
	gcPercent = 50
)

// executePlatform runs an instance on the users' platform and returns the exit code of the
// process.
func executePlatform(stdout, stderr io.Writer) int {
	lines := logging.NewWriter(stdout)
	defer lines.Close(logFlush)
	if err := runPlatform(zerolog.New(lines).With().Timestamp().Logger()); err != nil {
		fmt.Fprintln(stderr, "geraniumwickd:", err)
		return exitSettings
	}
	return exitDone
}

// checkSettings tells whether a settings file is good and returns the exit code of the process.
func checkSettings(path string, stdout, stderr io.Writer) int {
	s, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(stderr, "geraniumwickd:", err)
		return exitSettings
	}
	fmt.Fprintf(stdout, "%s: the settings of %s are good\n", path, s.Name)
	return exitDone
}

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
	return servePlatform(path, s, log)
}

func servePlatform(path string, s platform.Settings, log zerolog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := platform.NewStore(s.Platform.Address)
	scope, scrape, closer := metrics.New()
	defer func() { _ = closer.Close() }()
	options := entry.Options{
		Name:        s.Name,
		PeerAddress: s.PeerAddress(),
		Owner: owner.Options{
			LeaseTTL:       max(claimTTL, s.MinLease()),
			MaxWorkerLease: min(maxWorkerLease, s.MaxWorkerLease()),
			JobRetention:   keepFactor * s.StatusRetention(),
			Speed:          s.Speed(),
			Adviser:        platform.NewAdviser(s.Advice),
		},
		Scope: scope,
	}
	instance := entry.New(options, kv.WithMetrics(store, scope), platform.ConfigDecoder{}, platform.NewWorkerClient(log), platform.Registry{}, log)
	peers := peer.NewServer(model.InstanceID(s.Name), log)
	instance.RegisterPeerCalls(peers)
	mux := http.NewServeMux()
	mux.Handle("/peer", peers)

	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", scrape)

	failed := make(chan error, 4)
	front := listen(s.Listen.Front, platform.NewAPIHandler(instance, scope, log), failed)
	listen(s.Listen.Ready, platform.ReadinessHandler(instance), failed)
	listen(s.PeerAddress(), mux, failed)
	listen(s.MetricsAddress(), metricsMux, failed)
	go instance.Run(ctx)

	go watchSettings(ctx, path, s, store, log)

	signals := make(chan os.Signal, signalBound)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-failed:
			return err
		case sig := <-signals:
			log.Info().Str("event", "signal.received").Str("signal", sig.String()).Send()
			// The settings file is read again whenever it has changed, with a signal or without.
			if sig != syscall.SIGHUP {
				return stopPlatform(instance, front, s, log)
			}
		}
	}
}

// watchSettings follows changes of the settings file. The address of the store is the only
// setting that changes while an instance runs; a faulty file changes nothing.
func watchSettings(ctx context.Context, path string, s platform.Settings, store *platform.Store, log zerolog.Logger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	var seen os.FileInfo
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		info, err := os.Stat(path)
		if err != nil || seen != nil && info.ModTime().Equal(seen.ModTime()) && info.Size() == seen.Size() {
			continue
		}
		seen = info
		next, err := platform.ReadSettings(path)
		if err != nil {
			log.Error().Str("event", "settings.refused").Err(err).Send()
			continue
		}
		if next.Platform.Address != s.Platform.Address {
			store.SetAddress(next.Platform.Address)
		}
		s = next
		log.Info().Str("event", "settings.read").Str("store", s.Platform.Address).Send()
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
	ctx, cancel := context.WithTimeout(context.Background(), s.GracePeriod()-drainTime-stopMargin)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		log.Warn().Str("event", "instance.stopped").Err(err).Send()
		return nil
	}
	log.Info().Str("event", "instance.stopped").Send()
	return nil
}
