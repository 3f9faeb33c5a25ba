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

// concurrentSubmissions is the number of jobs that are submitted at the same time.
const concurrentSubmissions = 24

// session sends requests and jobs through the instances and keeps what the report needs.
type session struct {
	deployment string
	cluster    *cluster.Cluster
	traffic    *cluster.Traffic
	submitted  int
	dataCentre model.DataCentre
	// outFrom and outTo are the start and end of the time that the data centre was out of service.
	outFrom, outTo time.Time
}

// perform sends requests and jobs while a data centre is taken out of service and brought back,
// waits until the jobs are finished, and stops the instances gracefully.
func (s *session) perform(ctx context.Context) error {
	progress("sending %d requests a second and %d jobs through all instances", requestRate, firstJobs+meanwhileJobs+lastJobs)
	s.traffic = &cluster.Traffic{
		Deployment: s.deployment,
		Run:        "q",
		Seed:       1,
		Rate:       requestRate,
		CallerAddr: func(n int) string { return s.instance(n).CallerAddr },
	}
	sendCtx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { s.traffic.Send(sendCtx) })
	began := time.Now()
	if err := s.submit(ctx, "first", firstJobs); err != nil {
		return err
	}
	if err := s.takeOutAndBringBack(ctx, began); err != nil {
		return err
	}
	if err := s.awaitJobs(ctx, began.Add(finishBy)); err != nil {
		return err
	}
	progress("stopping the instances gracefully")
	stop()
	background.Wait()
	for _, i := range s.cluster.Instances {
		if err := i.Stop(); err != nil {
			return err
		}
	}
	return nil
}

// instance returns the instance for the n-th call; successive calls use successive instances.
func (s *session) instance(n int) *cluster.Instance {
	return s.cluster.Instances[n%len(s.cluster.Instances)]
}

// submit submits n jobs. A submission is idempotent, so it is repeated until accepted.
func (s *session) submit(ctx context.Context, run string, n int) error {
	specs := workload.Jobs(s.deployment, run, n, shortestJob, longestJob, 1)
	errs := make([]error, concurrentSubmissions)
	var submissions sync.WaitGroup
	for k := range concurrentSubmissions {
		submissions.Go(func() {
			for n := k; n < len(specs) && errs[k] == nil; n += concurrentSubmissions {
				errs[k] = s.submitOne(ctx, n, specs[n])
			}
		})
	}
	submissions.Wait()
	s.submitted += len(specs)
	return errors.Join(errs...)
}

// submitOne submits a job through the instance for the n-th call and, if that fails, through the
// following ones.
func (s *session) submitOne(ctx context.Context, n int, spec model.JobSpec) error {
	return cluster.Await(ctx, "submission of "+string(spec.ID), finishBy, func() (bool, error) {
		err := s.instance(n).Submit(ctx, spec)
		n++
		return err == nil, err
	})
}

// takeOutAndBringBack takes the data centre with the most starts out of service, submits jobs
// meanwhile, and brings it back.
func (s *session) takeOutAndBringBack(ctx context.Context, began time.Time) error {
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
	if err := wait(ctx, s.outFrom.Add(outGracePeriod)); err != nil {
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

// awaitJobs waits until the workers have finished all jobs, or until the deadline. Unfinished jobs
// are no error here; the report counts them.
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
