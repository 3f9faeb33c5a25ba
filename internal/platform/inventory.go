package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// The paths of the inventory's calls.
const (
	InventoryWorkersPath = "/v1/workers"
	InventoryTargetsPath = "/v1/targets"
)

// WorkerList is the body of the inventory's answer about workers.
type WorkerList struct {
	Workers []model.Worker `json:"workers"`
}

// TargetList is the body of the inventory's answer about targets.
type TargetList struct {
	Targets []model.Target `json:"targets"`
}

// inventoryTimeout bounds a call to the inventory.
const inventoryTimeout = 5 * time.Second

// HTTPInventory reads the platform's list over HTTP. A list that has not changed is not
// transferred again if the server gives entity tags. It is safe for concurrent use.
type HTTPInventory struct {
	client  *http.Client
	base    string
	workers list[model.Worker]
	targets list[model.Target]
}

var _ Inventory = (*HTTPInventory)(nil)

// list is the last answer to a call.
type list[T any] struct {
	mu      sync.Mutex
	tag     string
	entries []T
}

// NewInventory returns a client of the inventory at the URL, such as http://10.0.0.1:8500.
func NewInventory(base string) (*HTTPInventory, error) {
	base = strings.TrimSuffix(base, "/")
	if err := checkURL(base); err != nil {
		return nil, errors.Annotate(err, "inventory")
	}
	return &HTTPInventory{client: newHTTPClient(1), base: base}, nil
}

// Workers implements Inventory.
func (i *HTTPInventory) Workers(ctx context.Context) ([]model.Worker, error) {
	return fetch(ctx, i.client, i.base+InventoryWorkersPath, &i.workers, func(data []byte) ([]model.Worker, error) {
		var out WorkerList
		err := json.Unmarshal(data, &out)
		return out.Workers, err
	})
}

// Targets implements Inventory.
func (i *HTTPInventory) Targets(ctx context.Context) ([]model.Target, error) {
	return fetch(ctx, i.client, i.base+InventoryTargetsPath, &i.targets, func(data []byte) ([]model.Target, error) {
		var out TargetList
		err := json.Unmarshal(data, &out)
		return out.Targets, err
	})
}

// fetch performs one call, and returns the last answer if the list has not changed since.
func fetch[T any](ctx context.Context, client *http.Client, url string, last *list[T], decode func([]byte) ([]T, error)) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	last.mu.Lock()
	defer last.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Annotate(err, "inventory")
	}
	if last.tag != "" {
		req.Header.Set("If-None-Match", last.tag)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "inventory")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && last.tag != "" {
		return slices.Clone(last.entries), nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("inventory: %s", resp.Status)
	}
	data, err := readAll(resp.Body)
	if err != nil {
		return nil, errors.Annotate(err, "inventory")
	}
	entries, err := decode(data)
	if err != nil {
		return nil, errors.Annotate(err, "inventory")
	}
	last.tag, last.entries = resp.Header.Get("ETag"), entries
	return slices.Clone(entries), nil
}
