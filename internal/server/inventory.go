package server

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// inventoryPeriod is how often the inventory is read.
const inventoryPeriod = time.Second

// inventory keeps the newest lists of workers and targets. A failed read changes nothing,
// because the platform's lists lag anyway.
type inventory struct {
	source    platform.Inventory
	log       zerolog.Logger
	onWorkers func([]model.Worker)
	onTargets func([]model.Target)

	mu       sync.Mutex
	workers  []model.Worker
	services map[model.WorkerID][]model.Service
}

// run reads the inventory until ctx ends.
func (i *inventory) run(ctx context.Context) {
	ticker := time.NewTicker(inventoryPeriod)
	defer ticker.Stop()
	for {
		i.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read reads both lists once.
func (i *inventory) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inventoryPeriod)
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

// setServices notes which services have a target on which worker.
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

// count returns the number of workers listed and how many of them the platform withdraws.
func (i *inventory) count() (listed, leaving int) {
	for _, w := range i.Workers() {
		listed++
		if w.Leaving {
			leaving++
		}
	}
	return listed, leaving
}
