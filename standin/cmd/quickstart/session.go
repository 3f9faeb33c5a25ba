package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/workload"
)

// submitters is the number of jobs that are submitted at once.
const submitters = 24

// session is the work that goes through the instances.
type session struct {
	deployment string
	cluster    *cluster.Cluster
	traffic    *cluster.Traffic
	submitted  int
	dataCentre model.DataCentre
	// outFrom and outTo bound the time in which the data centre was out of service.
	outFrom, outTo time.Time
}

// perform sends requests and jobs while the data centre leaves and returns, and stops the
// instances gracefully.
func (s *session) perform(ctx context.Context) error {
	progress("sending %d requests a second and %d jobs through all instances", requestRate, firstJobs+meanwhileJobs+lastJobs)
	s.traffic = &cluster.Traffic{
		Deployment: s.deployment,
		Run:        "q",
		Seed:       1,
		Rate:       requestRate,
		CallerAddr: func(n int) string { return s.instance(n).CallerAddr },
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var duties sync.WaitGroup
	duties.Go(func() { s.traffic.Send(sending) })
	began := time.Now()
	if err := s.submit(ctx, "first", firstJobs); err != nil {
		return err
	}
	if err := s.outAndIn(ctx, began); err != nil {
		return err
	}
	if err := s.awaitJobs(ctx, began.Add(finishBy)); err != nil {
		return err
	}
	progress("stopping the instances gracefully")
	stop()
	duties.Wait()
	for _, i := range s.cluster.Instances {
		if err := i.Stop(); err != nil {
			return err
		}
	}
	return nil
}

// instance returns the instance for the n-th call.
func (s *session) instance(n int) *cluster.Instance {
	return s.cluster.Instances[n%len(s.cluster.Instances)]
}

// submit submits n jobs. A submission is idempotent, so it is repeated until accepted.
func (s *session) submit(ctx context.Context, run string, n int) error {
	specs := workload.Jobs(s.deployment, run, n, shortestJob, longestJob, 1)
	errs := make([]error, submitters)
	var duties sync.WaitGroup
	for k := range submitters {
		duties.Go(func() {
			for n := k; n < len(specs) && errs[k] == nil; n += submitters {
				errs[k] = s.submitOne(ctx, n, specs[n])
			}
		})
	}
	duties.Wait()
	s.submitted += len(specs)
	return errors.Join(errs...)
}

// submitOne submits a job through the n-th instance and the ones after it.
func (s *session) submitOne(ctx context.Context, n int, spec model.JobSpec) error {
	return cluster.Await(ctx, "submission of "+string(spec.ID), finishBy, func() (bool, error) {
		err := s.instance(n).Submit(ctx, spec)
		n++
		return err == nil, err
	})
}

// outAndIn takes a data centre out of service and brings it back.
func (s *session) outAndIn(ctx context.Context, began time.Time) error {
	if err := wait(ctx, began.Add(outAt)); err != nil {
		return err
	}
	counts, err := s.cluster.Counts(ctx)
	if err != nil {
		return err
	}
	for dc, n := range counts.StartsByDC {
		if n > counts.StartsByDC[s.dataCentre] {
			s.dataCentre = dc
		}
	}
	if s.dataCentre == "" {
		return errors.New("no task has started in any data centre")
	}
	if err := s.instance(1).SetDataCentreOut(ctx, s.dataCentre, true); err != nil {
		return err
	}
	s.outFrom = time.Now()
	progress("data centre %s is out of service", s.dataCentre)
	if err := wait(ctx, s.outFrom.Add(grace)); err != nil {
		return err
	}
	if err := s.submit(ctx, "meanwhile", meanwhileJobs); err != nil {
		return err
	}
	if err := wait(ctx, began.Add(inAt)); err != nil {
		return err
	}
	s.outTo = time.Now()
	if err := s.instance(2).SetDataCentreOut(ctx, s.dataCentre, false); err != nil {
		return err
	}
	progress("data centre %s is back in service", s.dataCentre)
	return s.submit(ctx, "last", lastJobs)
}

// awaitJobs waits until the workers have finished all jobs.
func (s *session) awaitJobs(ctx context.Context, deadline time.Time) error {
	next := time.Now()
	for {
		counts, err := s.cluster.Counts(ctx)
		if err != nil {
			return err
		}
		if counts.Finished >= s.submitted || time.Now().After(deadline) {
			progress("%d of %d jobs finished", counts.Finished, s.submitted)
			return nil
		}
		if !time.Now().Before(next) {
			progress("%d of %d jobs finished, %d executing, %d checkpointed so far", counts.Finished, s.submitted, counts.Running, counts.Checkpointed)
			next = next.Add(2 * time.Second)
		}
		if err := wait(ctx, time.Now().Add(100*time.Millisecond)); err != nil {
			return err
		}
	}
}

// wait waits until a time or until ctx ends.
func wait(ctx context.Context, until time.Time) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("interrupted: %w", ctx.Err())
	case <-time.After(time.Until(until)):
		return nil
	}
}
