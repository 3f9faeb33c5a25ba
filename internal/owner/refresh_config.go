package owner

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	// refreshConfigTimeout bounds a read of the configuration.
	refreshConfigTimeout = 2 * time.Second
	// refreshConfigPause is the pause after a read that failed.
	refreshConfigPause = 100 * time.Millisecond
)

// refreshConfig reads the configuration from the store if jobs wait for a newer one than the one in force. The watch may be behind:
// other instances tell of their jobs at once.
func (l *leader) refreshConfig() {
	version := l.state.AwaitedConfig()
	if version == 0 || l.refreshesConfig || l.owner.opts.RefreshConfig == nil {
		return
	}
	l.refreshesConfig = true
	l.log.Info().Str("event", "config.behind").Int64("version", version).Int64("in-force", l.state.ConfigVersion()).
		Str("why", "a job was accepted under a newer configuration").Send()
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, refreshConfigTimeout)
		defer cancel()
		err := l.owner.opts.RefreshConfig(ctx)
		if err != nil {
			l.log.Warn().Str("event", "config.refresh-failed").Err(err).Send()
			pause.For(l.ctx, refreshConfigPause)
		}
		l.post(func(l *leader, _ time.Time) {
			l.refreshesConfig = false
			if err == nil {
				l.state.SetConfig(l.owner.config())
				l.state.ConfirmConfig(version)
			}
		})
	}()
}
