package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/admission"
	"github.com/geraniumwick/geraniumwick/internal/connlimit"
	"github.com/geraniumwick/geraniumwick/internal/entry"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/logging"
	"github.com/geraniumwick/geraniumwick/internal/metrics"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/readlag"
	"github.com/geraniumwick/geraniumwick/internal/refusals"
	"github.com/geraniumwick/geraniumwick/platform"
)

const (
	// minClaimTTL is how long the store keeps the owner's claim without a renewal, unless its shortest
	// lease is longer.
	minClaimTTL = 1200 * time.Millisecond
	// drainDelay is how long an instance continues to accept requests after a planned stop has begun,
	// so that the load balancer sees that it is no longer ready.
	drainDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace period kept in reserve before the SIGKILL.
	stopMargin = 700 * time.Millisecond
	// workerLeaseLimit bounds the leases of workers. The tasks of a lost worker can be restarted only
	// after its lease has ended.
	workerLeaseLimit = 6 * time.Second
	// retentionFactor is how long an ended job stays known, as a multiple of the time that the platform
	// requires.
	retentionFactor = 2
	// logFlushTimeout bounds the time for writing the remaining log lines at exit.
	logFlushTimeout = 300 * time.Millisecond
	// memoryLimitShare is the share of the process's memory limit that the Go runtime is given as its
	// soft limit; near it, garbage is collected more often.
	memoryLimitShare = 0.75
)

// executePlatform runs an instance on the users' platform and returns the exit code of the process.
func executePlatform(stdout, stderr io.Writer) int {
	logWriter := logging.NewWriter(stdout)
	defer logWriter.Close(logFlushTimeout)
	if err := runPlatform(zerolog.New(logWriter).With().Timestamp().Logger()); err != nil {
		fmt.Fprintln(stderr, "geraniumwickd:", err)
		return exitUsage
	}
	return exitDone
}

// checkSettings reports whether a settings file is valid and returns the exit code of the process.
func checkSettings(path string, stdout, stderr io.Writer) int {
	s, odd, err := platform.ReadSettings(path)
	if err := cmp.Or(err, odd); err != nil {
		fmt.Fprintln(stderr, "geraniumwickd:", err)
		return exitUsage
	}
	fmt.Fprintf(stdout, "%s: the settings of %s are valid\n", path, s.Name)
	return exitDone
}

// runPlatform reads the settings file, applies its memory limit and serves until a planned stop.
func runPlatform(log zerolog.Logger) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	s, odd, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryLimit(s))
	log = log.With().Str("instance", s.Name).Logger()
	log.Info().Str("event", "instance.start").Str("data-centre", s.Zone).Send()
	if odd != nil {
		log.Error().Str("event", "settings.unreadable").Err(odd).Send()
	}
	return servePlatform(path, s, log)
}

// memoryLimit returns the soft limit of the Go runtime, in bytes.
func memoryLimit(s platform.Settings) int64 {
	return int64(memoryLimitShare * float64(s.Limits.MemoryMB) * (1 << 20))
}

// instanceLimits returns the limits of an instance by the settings.
func instanceLimits(s platform.Settings) entry.Limits {
	return entry.Limits{
		Limits:          owner.Limits{JobRetention: retentionFactor * s.StatusRetention(), MaxValueBytes: s.MaxValueBytes()},
		RevocationBound: s.RevocationBound(),
	}
}

// servePlatform starts the listeners and the instance and serves until SIGTERM or SIGINT, or until a
// listener fails.
func servePlatform(path string, s platform.Settings, log zerolog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := platform.NewStore(s.Platform.Address, log)
	scope, metricsHandler, closer := metrics.New()
	defer func() { _ = closer.Close() }()
	lag, err := readlag.New()
	if err != nil {
		return err
	}
	defer lag.Close()
	connections := connlimit.New(s.MaxConnections())
	adviser := platform.NewAdviser(s.Advice, log)
	limits := instanceLimits(s)
	options := entry.Options{
		Name:        s.Name,
		PeerAddress: s.PeerAddress(),

		MaxValueBytes: limits.MaxValueBytes,
		Owner: owner.Options{
			LeaseTTL:           max(minClaimTTL, s.MinLease()),
			MaxWorkerLease:     min(workerLeaseLimit, s.MaxWorkerLease()),
			LongestWorkerLease: s.MaxWorkerLease(),
			JobRetention:       limits.JobRetention,
			Speed:              s.Speed(),
			Adviser:            adviser,
			OpenConnections:    connections.Open,
			ProcessorLag:       func(ctx context.Context) time.Duration { return lag.Measure(ctx, admission.SampleInterval) },
		},
		Scope:           scope,
		RevocationBound: limits.RevocationBound,
	}
	instance := entry.New(options, kv.WithMetrics(store, scope), platform.ConfigDecoder{}, platform.NewWorkerClient(connections, log), platform.Registry{}, log)
	peers := peer.NewServer(model.InstanceID(s.Name), log)
	instance.RegisterPeerCalls(peers)
	peerMux := http.NewServeMux()
	peerMux.Handle("/peer", peers)

	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", metrics.Limit(metricsHandler, maxScrapes))

	l := newListeners(s, connections, scope, log)
	peers.SetBudget(l.peerBudget, refusals.New("peer-messages", scope, log))
	apiServer := l.serve(l.callers(platform.NewAPIHandler(instance, scope, log)))
	l.serve(listener{
		name: "ready", address: s.Listen.Ready, handler: platform.ReadinessHandler(instance),
		maxConns: l.maxConns(otherConnections), budget: l.callerBudget, idleTimeout: idleTimeout, writeTimeout: writeTimeout,
	})
	l.serve(listener{
		name: "peers", address: s.PeerAddress(), handler: peerMux,
		maxConns: l.maxConns(peerConnections), budget: l.peerBudget, idleTimeout: idleTimeout, writeTimeout: writeTimeout,
	})
	l.serve(listener{
		name: "metrics", address: s.MetricsAddress(), handler: metricsMux,
		maxConns: l.maxConns(otherConnections), budget: l.callerBudget, idleTimeout: idleTimeout, writeTimeout: writeTimeout,
	})
	go instance.Run(ctx)

	watcher := newSettingsWatcher(path, s, log, func(s platform.Settings) {
		store.SetAddress(s.Platform.Address)
		adviser.SetAddress(s.Advice)
		instance.SetLimits(instanceLimits(s))
		debug.SetMemoryLimit(memoryLimit(s))
	})
	go watcher.run(ctx)

	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-l.failed:
			return err
		case sig := <-signals:
			log.Info().Str("event", "signal.received").Str("signal", sig.String()).Send()
			// SIGHUP needs no action: the watcher reads the settings file again whenever it changes.
			if sig != syscall.SIGHUP {
				return stopPlatform(instance, apiServer, watcher.settings().GracePeriod(), log)
			}
		}
	}
}

// stopPlatform carries out a planned stop: it resigns as the owner, keeps accepting requests for
// drainDelay, and returns once the requests in progress are answered or the grace period is almost over.
func stopPlatform(instance *entry.Instance, apiServer *http.Server, grace time.Duration, log zerolog.Logger) error {
	instance.Drain()
	time.Sleep(drainDelay)
	apiServer.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), grace-drainDelay-stopMargin)
	defer cancel()
	if err := apiServer.Shutdown(ctx); err != nil {
		log.Warn().Str("event", "instance.stopped").Err(err).Send()
		return nil
	}
	log.Info().Str("event", "instance.stopped").Send()
	return nil
}
