package platform

import (
	"context"
	"net/http"
	"strings"
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

// HTTPInventory reads the platform's list over HTTP. It is safe for concurrent use.
type HTTPInventory struct {
	client *http.Client
	base   string
}

var _ Inventory = (*HTTPInventory)(nil)

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
	var out WorkerList
	if err := i.get(ctx, InventoryWorkersPath, &out); err != nil {
		return nil, err
	}
	return out.Workers, nil
}

// Targets implements Inventory.
func (i *HTTPInventory) Targets(ctx context.Context) ([]model.Target, error) {
	var out TargetList
	if err := i.get(ctx, InventoryTargetsPath, &out); err != nil {
		return nil, err
	}
	return out.Targets, nil
}

// get performs one call.
func (i *HTTPInventory) get(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	if err := exchange(ctx, i.client, http.MethodGet, i.base+path, nil, out); err != nil {
		return errors.Annotate(err, "inventory")
	}
	return nil
}
