package server

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// inventoryInterval is the time between two reads of the inventory, and the timeout of each.
const inventoryInterval = time.Second

// inventory caches the newest lists of workers and targets. A failed read keeps the previous lists:
// the platform's lists may be out of date even after a successful read.
type inventory struct {
	source    platform.Inventory
	log       zerolog.Logger
	onWorkers func([]model.Worker)
	onTargets func([]model.Target)

	mu       sync.Mutex
	workers  []model.Worker
	services map[model.WorkerID][]model.Service
}

// run refreshes the lists every inventoryInterval until ctx ends.
func (i *inventory) run(ctx context.Context) {
	ticker := time.NewTicker(inventoryInterval)
	defer ticker.Stop()
	for {
		i.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh reads both lists once and passes them to the callbacks.
func (i *inventory) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inventoryInterval)
	defer cancel()
	targets, err := i.source.Targets(ctx)
	if err != nil {
		i.log.Warn().Str("event", "inventory.unread").Err(err).Send()
		return
	}
	i.setServices(targets)
	i.onTargets(targets)
	workers, err := i.source.Workers(ctx)
	if err != nil {
		i.log.Warn().Str("event", "inventory.unread").Err(err).Send()
		return
	}
	i.mu.Lock()
	i.workers = workers
	i.mu.Unlock()
	i.onWorkers(workers)
}

// setServices indexes the services of the targets by worker.
func (i *inventory) setServices(targets []model.Target) {
	services := map[model.WorkerID][]model.Service{}
	for _, t := range targets {
		services[t.Worker] = append(services[t.Worker], t.Service)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.services = services
}

// Workers returns the newest list of workers.
func (i *inventory) Workers() []model.Worker {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.workers
}

// ServicesOn returns the services that have a target on the worker.
func (i *inventory) ServicesOn(w model.WorkerID) []model.Service {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.services[w]
}

// countWorkers returns the number of workers listed and the number of them that are leaving.
func (i *inventory) countWorkers() (listed, leaving int) {
	for _, w := range i.Workers() {
		listed++
		if w.Leaving {
			leaving++
		}
	}
	return listed, leaving
}
