package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/query"
	"github.com/geraniumwick/geraniumwick/standin/process"
)

// Instance is one entry instance. Each restart runs a new process at the same addresses.
type Instance struct {
	*process.Process
	Number       int
	CallerAddr   string
	OperatorAddr string
	PeerAddr     string
	// PeerProxy is the proxy through which other instances connect to this one.
	PeerProxy *Proxy

	cluster *Cluster
	// starts counts the processes started for this instance.
	starts int
}

// newInstance chooses the addresses of an instance.
func (c *Cluster) newInstance(n int) (*Instance, error) {
	i := &Instance{Number: n, cluster: c}
	for _, addr := range []*string{&i.CallerAddr, &i.OperatorAddr, &i.PeerAddr} {
		var err error
		if *addr, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	var err error
	i.PeerProxy, err = NewProxy(i.PeerAddr)
	return i, err
}

// ID returns the instance ID of the current process. It is different after each start.
func (i *Instance) ID() model.InstanceID {
	return model.InstanceID(fmt.Sprintf("entry-%d-%d", i.Number+1, i.starts))
}

// Start starts a new process of the instance.
func (i *Instance) Start() error {
	i.starts++
	c := i.cluster
	racks := c.options.Fleet.Racks
	settings := map[string]string{
		"instance-id":     string(i.ID()),
		"data-centre":     string(racks[i.Number%len(racks)].DataCentre),
		"caller-listen":   i.CallerAddr,
		"operator-listen": i.OperatorAddr,
		"peer-listen":     i.PeerAddr,
		"peer-advertise":  i.PeerProxy.Addr(),
		"store":           "http://" + c.Store.Listeners[i.Number],
		"inventory":       "http://" + c.Fleet.Inventory,
	}
	for name, value := range c.options.Settings {
		settings[name] = value
	}
	var env []string
	for name, value := range settings {
		env = append(env, "GERANIUMWICK_"+strings.ToUpper(strings.ReplaceAll(name, "-", "_"))+"="+value)
	}
	p, err := process.Start(c.options.Dir, string(i.ID()), nil, env, c.options.Binaries.Daemon)
	if err != nil {
		return err
	}
	i.Process = p
	return nil
}

// Stop ends the instance gracefully.
func (i *Instance) Stop() error {
	if i.Process == nil {
		return nil
	}
	select {
	case <-i.Done():
		return nil
	default:
	}
	if err := i.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := i.Wait(stopTimeout); err != nil {
		return fmt.Errorf("planned stop of %s: %w", i.ID(), err)
	}
	return nil
}

// awaitHealthy waits until the instance answers health checks.
func (i *Instance) awaitHealthy(ctx context.Context) error { return i.await(ctx, "/healthz") }

// AwaitReady waits until the instance reports that it is ready for requests.
func (i *Instance) AwaitReady(ctx context.Context) error { return i.await(ctx, "/readyz") }

// await polls a path until it answers with success or the process ends.
func (i *Instance) await(ctx context.Context, path string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	proc := i.Process
	go func() {
		select {
		case <-proc.Done():
			cancel(fmt.Errorf("the process has ended, see %s", proc.LogFile))
		case <-ctx.Done():
		}
	}()
	return Await(ctx, string(i.ID())+path, readyTimeout, func() (bool, error) {
		err := callHTTP(ctx, http.MethodGet, "http://"+i.OperatorAddr+path, nil, nil)
		return err == nil, err
	})
}

// Ready reports whether the instance is ready for callers' requests, by the check that a load
// balancer makes on the callers' listener.
func (i *Instance) Ready(ctx context.Context) bool {
	return callHTTP(ctx, http.MethodGet, "http://"+i.CallerAddr+"/readyz", nil, nil) == nil
}

// CallOperator makes a call on the operators' listener; a nil out ignores the answer.
func (i *Instance) CallOperator(ctx context.Context, method, path string, body []byte, out any) error {
	return callHTTP(ctx, method, "http://"+i.OperatorAddr+path, body, out)
}

// PutSection writes a section of the document, if its current revision is the expected one.
func (i *Instance) PutSection(ctx context.Context, name string, expected model.Revision, text []byte) error {
	return i.CallOperator(ctx, http.MethodPut, fmt.Sprintf("/v1/config/sections/%s?expected=%d", name, expected), text, nil)
}

// SetDataCentreOut takes a data centre out of service or back in.
func (i *Instance) SetDataCentreOut(ctx context.Context, dc model.DataCentre, out bool) error {
	verb := "in"
	if out {
		verb = "out"
	}
	return i.CallOperator(ctx, http.MethodPost, fmt.Sprintf("/v1/datacentres/%s/%s", dc, verb), nil, nil)
}

// Status returns the status of the system as this instance sees it.
func (i *Instance) Status(ctx context.Context) (query.Status, error) {
	var out query.Status
	err := i.CallOperator(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Submit submits a job on the callers' listener.
func (i *Instance) Submit(ctx context.Context, spec model.JobSpec) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	return callHTTP(ctx, http.MethodPost, "http://"+i.CallerAddr+"/v1/jobs", body, nil)
}

// Cancel cancels a job.
func (i *Instance) Cancel(ctx context.Context, id model.JobID) error {
	return callHTTP(ctx, http.MethodDelete, "http://"+i.CallerAddr+"/v1/jobs/"+string(id), nil, nil)
}

// Job returns the status of a job.
func (i *Instance) Job(ctx context.Context, id model.JobID) (ledger.JobStatus, error) {
	var out ledger.JobStatus
	err := callHTTP(ctx, http.MethodGet, "http://"+i.CallerAddr+"/v1/jobs/"+string(id), nil, &out)
	return out, err
}

// callHTTP makes one HTTP call with JSON bodies, limited to callTimeout.
func callHTTP(ctx context.Context, method, url string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return process.DoJSON(ctx, method, url, body, out)
}
