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

// Paths of the inventory's calls.
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

// HTTPInventory reads the platform's lists over HTTP. A list that has not changed is not transferred
// again if the server supports entity tags. It is safe for concurrent use.
type HTTPInventory struct {
	client  *http.Client
	base    string
	workers cachedList[model.Worker]
	targets cachedList[model.Target]
}

var _ Inventory = (*HTTPInventory)(nil)

// cachedList is the last list that the server returned, with its entity tag.
type cachedList[T any] struct {
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

// fetch reads a list, and returns the cached one if the server answers that it has not changed.
func fetch[T any](ctx context.Context, client *http.Client, url string, cache *cachedList[T], decode func([]byte) ([]T, error)) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	cache.mu.Lock()
	defer cache.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Annotate(err, "inventory")
	}
	if cache.tag != "" {
		req.Header.Set("If-None-Match", cache.tag)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "inventory")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && cache.tag != "" {
		return slices.Clone(cache.entries), nil
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
	cache.tag, cache.entries = resp.Header.Get("ETag"), entries
	return slices.Clone(entries), nil
}
