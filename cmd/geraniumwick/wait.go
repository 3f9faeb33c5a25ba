package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/query"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// pollInterval is the time between two reads of the revisions in force.
const pollInterval = 200 * time.Millisecond

// waitInForce returns nil once every live instance has the revision or a higher one in force. After
// limit it returns an error that names the instances that do not.
func (c *cli) waitInForce(ctx context.Context, revision model.Revision, limit time.Duration) error {
	var state atomic.Value
	state.Store("no status yet")
	stop := c.progress(func() string {
		return fmt.Sprintf("waiting until revision %d is in force: %s", revision, state.Load())
	})
	defer stop()
	// The first read of the status does not depend on the limit.
	missing, err := c.missing(ctx, revision)
	if err == nil && len(missing) == 0 {
		return nil
	}
	state.Store(describeMissing(missing, err))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return notInForce(revision, limit, missing, state.Load())
		case <-time.After(pollInterval):
		}
		lagging, err := c.missing(ctx, revision)
		if err == nil && len(lagging) == 0 {
			return nil
		}
		if ctx.Err() == nil {
			missing = lagging
			state.Store(describeMissing(missing, err))
		}
	}
}

// missing names the live instances that do not have the revision in force.
func (c *cli) missing(ctx context.Context, revision model.Revision) ([]string, error) {
	var status query.Status
	if err := c.client.call(ctx, http.MethodGet, "/v1/status", nil, &status); err != nil {
		return nil, err
	}
	if len(status.Instances) == 0 {
		return nil, fmt.Errorf("the status lists no live instance")
	}
	var names []string
	for _, i := range status.Instances {
		if i.Revision < revision {
			names = append(names, string(i.ID))
		}
	}
	return names, nil
}

// describeMissing returns a text about the instances that the wait is for.
func describeMissing(missing []string, err error) string {
	if err != nil {
		return "the status could not be read: " + err.Error()
	}
	return "not yet on " + strings.Join(missing, ", ")
}

// notInForce returns the error of a wait that exceeded its limit.
func notInForce(revision model.Revision, limit time.Duration, missing []string, state any) error {
	return &failure{
		code:    exitNotInForce,
		Verdict: verdict.Ran,
		Reason:  verdict.ReasonConfigStale,
		Message: fmt.Sprintf("revision %d is accepted, but after %v: %v", revision, limit, state),
		Missing: missing,
	}
}
