// Package cluster runs the whole system on the loopback interface: the stand-ins for the platform
// and a number of entry instances of geraniumwickd, each in a separate process.
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/standin/fleet"
	"github.com/geraniumwick/geraniumwick/standin/process"
	"github.com/geraniumwick/geraniumwick/standin/store"
)

// Import paths of the binaries.
const (
	daemonPackage   = "github.com/geraniumwick/geraniumwick/cmd/geraniumwickd"
	standinsPackage = "github.com/geraniumwick/geraniumwick/standin/cmd/standins"
)

// Binaries are the paths of the built binaries.
type Binaries struct {
	Daemon   string
	Standins string
}

// Build compiles the binaries into dir. The daemon has the race detector if race is set, and the stand-ins if GOFLAGS
// turns it on.
func Build(ctx context.Context, dir string, race bool) (Binaries, error) {
	// The flag is always given, since GOFLAGS may turn the detector on.
	daemon, err := process.Build(ctx, dir, daemonPackage, "geraniumwickd", fmt.Sprintf("-race=%t", race))
	if err != nil {
		return Binaries{}, err
	}
	standins, err := process.Build(ctx, dir, standinsPackage, "standins")
	return Binaries{Daemon: daemon, Standins: standins}, err
}

// Root returns the root directory of the workspace.
func Root(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOWORK").Output()
	if err != nil {
		return "", err
	}
	file := strings.TrimSpace(string(out))
	if file == "" {
		return "", fmt.Errorf("the working directory is not in the Go workspace of geraniumwick")
	}
	return filepath.Dir(file), nil
}

// Options describe the cluster to start.
type Options struct {
	// Dir is the directory for the logs of the processes.
	Dir       string
	Binaries  Binaries
	Instances int
	Fleet     fleet.Spec
	// Document is the configuration: the text of each section by the section's name.
	Document map[string][]byte
	// Settings are passed to every instance in its environment, by the names of the flags.
	Settings map[string]string
}

// Cluster is a running system.
type Cluster struct {
	options   Options
	Store     process.StoreAddresses
	Fleet     process.FleetAddresses
	Instances []*Instance

	store, fleet *process.Process
}

// Timeouts, and the interval at which conditions are polled.
const (
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 15 * time.Second
	callTimeout  = 15 * time.Second
)

// Start starts the stand-ins and the instances, and puts the document in force. The caller must
// call Stop or Kill on the returned cluster, even if Start fails.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{options: o}
	var err error
	c.store, err = process.StartReady(o.Dir, "store", &c.Store, o.Binaries.Standins,
		"store", "-listeners", fmt.Sprint(o.Instances+1))
	if err != nil {
		return c, err
	}
	spec, err := json.Marshal(o.Fleet)
	if err != nil {
		return c, err
	}
	c.fleet, err = process.StartReady(o.Dir, "fleet", &c.Fleet, o.Binaries.Standins, "fleet", "-spec", string(spec))
	if err != nil {
		return c, err
	}
	for n := range o.Instances {
		i, err := c.newInstance(n)
		if err != nil {
			return c, err
		}
		c.Instances = append(c.Instances, i)
		if err := i.Start(); err != nil {
			return c, err
		}
	}
	return c, c.applyDocument(ctx)
}

// applyDocument waits until all instances are healthy, writes all sections through the first one,
// the operators' section before the others, and waits until all instances are ready.
func (c *Cluster) applyDocument(ctx context.Context) error {
	for _, i := range c.Instances {
		if err := i.awaitHealthy(ctx); err != nil {
			return err
		}
	}
	if len(c.Instances) == 0 {
		return nil
	}
	first := c.Instances[0]
	names := []string{config.OperatorsSection}
	for name := range c.options.Document {
		if name != config.OperatorsSection {
			names = append(names, name)
		}
	}
	for _, name := range names {
		if err := first.PutSection(ctx, name, 0, c.options.Document[name]); err != nil {
			return err
		}
	}
	for _, i := range c.Instances {
		if err := i.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops the instances gracefully and kills the other processes.
func (c *Cluster) Stop() error {
	var failed error
	for _, i := range c.Instances {
		if err := i.Stop(); err != nil && failed == nil {
			failed = err
		}
	}
	c.Kill()
	return failed
}

// Kill kills all processes.
func (c *Cluster) Kill() {
	for _, i := range c.Instances {
		if i.Process != nil {
			i.Process.Kill()
		}
		i.PeerProxy.Close()
	}
	for _, p := range []*process.Process{c.fleet, c.store} {
		if p != nil {
			p.Kill()
		}
	}
}

// StoreFault replaces the faults that the store shows to an instance or, if i is nil, those that
// it shows to all.
func (c *Cluster) StoreFault(ctx context.Context, i *Instance, f store.Fault) error {
	in := store.FaultRequest{Listener: -1, Fault: f}
	if i != nil {
		in.Listener = i.Number
	}
	return process.Call(ctx, "http://"+c.Store.Control+"/control/fault", in, nil)
}

// StoreCounts returns the store's counters.
func (c *Cluster) StoreCounts(ctx context.Context) (store.Counts, error) {
	var out store.Counts
	err := process.Call(ctx, "http://"+c.Store.Control+"/control/counts", nil, &out)
	return out, err
}

// WorkerFault applies a fault to workers.
func (c *Cluster) WorkerFault(ctx context.Context, f fleet.WorkerFault) error {
	return process.Call(ctx, "http://"+c.Fleet.Control+"/control/worker", f, nil)
}

// TargetFault applies a fault to targets.
func (c *Cluster) TargetFault(ctx context.Context, f fleet.TargetFault) error {
	return process.Call(ctx, "http://"+c.Fleet.Control+"/control/target", f, nil)
}

// Counts returns the totals that the workers and targets have recorded.
func (c *Cluster) Counts(ctx context.Context) (fleet.Counts, error) {
	var out fleet.Counts
	err := process.Call(ctx, "http://"+c.Fleet.Control+"/control/counts", nil, &out)
	return out, err
}

// Violations returns the violated guarantees that the workers and targets have recorded.
func (c *Cluster) Violations(ctx context.Context) ([]fleet.Violation, error) {
	var out []fleet.Violation
	err := process.Call(ctx, "http://"+c.Fleet.Control+"/control/violations", nil, &out)
	return out, err
}

// Interval returns what started in a data centre between two times, or in all data centres if the
// name is empty.
func (c *Cluster) Interval(ctx context.Context, dc model.DataCentre, from, to time.Time) (fleet.IntervalReply, error) {
	var out fleet.IntervalReply
	in := fleet.Interval{DataCentre: dc, From: from, To: to}
	err := process.Call(ctx, "http://"+c.Fleet.Control+"/control/interval", in, &out)
	return out, err
}

// Executions returns the executions of all requests by their reference.
func (c *Cluster) Executions(ctx context.Context) (map[string]fleet.Executions, error) {
	var list []fleet.Executions
	if err := process.Call(ctx, "http://"+c.Fleet.Control+"/control/executions", nil, &list); err != nil {
		return nil, err
	}
	out := make(map[string]fleet.Executions, len(list))
	for _, e := range list {
		out[e.Reference] = e
	}
	return out, nil
}

// Await polls until the condition holds, or returns an error after the limit. The description of
// what is awaited begins the error's text.
func Await(ctx context.Context, what string, limit time.Duration, condition func() (bool, error)) error {
	deadline := time.Now().Add(limit)
	for {
		ok, err := condition()
		if ok {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s (last error: %v)", what, limit, err)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, context.Cause(ctx))
		case <-time.After(pollInterval):
		}
	}
}

// Range of the instances' ports. It lies below the range from which the operating system picks
// ports for outgoing connections, so that no connection takes a port before its instance listens.
const (
	firstPort = 20_000
	lastPort  = 31_999
)

// nextPort counts the ports that freeAddress has tried. The offset by the process ID makes
// processes that run at the same time start at different ports.
var nextPort atomic.Uint32

// freeAddress returns an address on the loopback interface that nothing listens on. An address is
// returned again only after all other ports of the range have been tried.
func freeAddress() (string, error) {
	const count = lastPort - firstPort + 1
	for range count {
		port := firstPort + (uint32(os.Getpid())*64+nextPort.Add(1))%count
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// LoadDocument reads the sections in a directory. Each file has the name of its section.
func LoadDocument(dir string) (map[string][]byte, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, err
	}
	out := map[string][]byte{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		out[strings.TrimSuffix(filepath.Base(file), ".yaml")] = text
	}
	if len(out[config.OperatorsSection]) == 0 {
		return nil, fmt.Errorf("%s has no section %s", dir, config.OperatorsSection)
	}
	return out, nil
}

// RacksOf returns the racks of the document, each with the given number of workers and targets.
func RacksOf(document map[string][]byte, workers, targets int) ([]fleet.Rack, error) {
	section, err := config.Parse(config.OperatorsSection, document[config.OperatorsSection])
	if err != nil {
		return nil, err
	}
	var racks []fleet.Rack
	for _, r := range section.Operators.Racks {
		racks = append(racks, fleet.Rack{Name: r.Name, DataCentre: r.DataCentre, Workers: workers, Targets: targets})
	}
	return racks, nil
}
