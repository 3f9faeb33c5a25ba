package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	serviceName = "levy-desk"
	hostName    = "levy.example"
	prefix      = "/jobs/"
)

// System holds the processes of the project and the stand-ins around them.
type System struct {
	record    *Record
	dir       string
	base      string // first two bytes of the loopback addresses of this run
	store     *Store
	storeAddr string
	checker   *Checker
	instances []*Instance
	runners   []*Runner
}

// Instance is one process of the project.
type Instance struct {
	Name, IP string
	cmd      *exec.Cmd
	done     chan struct{}
	settings string
	log      *os.File
}

var errCannotRun = errors.New("the case cannot run")

func newSystem(record *Record) (*System, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &System{record: record, dir: dir, base: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)), store: newStore(), checker: newChecker(record)}
	l, err := net.Listen("tcp", s.base+".1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	return s, nil
}

// Route is a queue of the configuration.
type Route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Service     string  `json:"service"`
	TargetMS    int     `json:"target-duration-ms"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch"`
}

func defaultRoute() Route {
	return Route{Name: "levy-calc", Host: hostName, Prefix: prefix, Service: serviceName, TargetMS: 1000, MaxAttempts: 3, Stretch: 2}
}

// Configure writes a configuration as the operator does.
func (s *System) Configure(version int64, routes ...Route) {
	s.record.Line("config version %d, %d routes", version, len(routes))
	s.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"max-body-bytes": 262144},
		"services": []any{map[string]any{"name": serviceName, "admission-check": false}},
	})
}

// AddRunners starts n runners.
func (s *System) AddRunners(n int, lasts func(task string) time.Duration) error {
	zones := []string{"cairo-a", "cairo-b", "cairo-c"}
	for i := range n {
		r, err := newRunner(fmt.Sprintf("runner-%d", i+1), zones[i%len(zones)], fmt.Sprintf("%s.%d", s.base, 101+i), s.store, s.checker, lasts)
		if err != nil {
			return err
		}
		s.runners = append(s.runners, r)
	}
	return nil
}

const settingsFormat = `node-name: %q
role: "entry"
machine-class: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "cairo"
zones: {cairo-a: "cairo", cairo-b: "cairo", cairo-c: "cairo"}
listen: {front: "%s:8161", ready: "%s:8167"}
internal-ports: [7720, 7735]
bootstrap: true
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}
discovery: "platform"
entry: "vip"
heartbeat-ms: 1100
bounds: {contact-ms: 3000, ack-ms: 4000, drain-ms: 2000, grace-s: 6, loss-slack-ms: 200, config-ms: 2000, hold-max-ms: %d, stop-ms: 400, gang-ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, require-fencing: true, lease-ms: 3000}
orders: "invoke"
platform: {address: %q, form: "kv", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000}
`

// AddInstances starts n instances and waits until they are ready.
func (s *System) AddInstances(n int) error {
	zones := []string{"cairo-a", "cairo-b", "cairo-c"}
	for i := range n {
		in := &Instance{Name: fmt.Sprintf("edge-%d", i+1), IP: fmt.Sprintf("%s.%d", s.base, 11+i)}
		in.settings = filepath.Join(s.dir, in.Name+".yaml")
		text := fmt.Sprintf(settingsFormat, in.Name, in.IP, zones[i%len(zones)], in.IP, in.IP, holdMax.Milliseconds(), s.storeAddr)
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			return err
		}
		s.instances = append(s.instances, in)
		if err := s.start(in); err != nil {
			return err
		}
	}
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, in := range s.instances {
			if in.ready() {
				ready++
			}
		}
		if ready == n && s.leader() != nil {
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready: %w", errCannotRun)
}

func (s *System) start(in *Instance) error {
	log, err := os.OpenFile(filepath.Join(s.dir, in.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	in.cmd = exec.Command("target/geraniumwickd", "platform")
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMWICK_BOOT=" + in.settings}
	in.cmd.Stdout, in.cmd.Stderr = log, log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	s.record.Line("process %s started", in.Name)
	done := make(chan struct{})
	in.done, in.log = done, log
	cmd := in.cmd
	go func() {
		err := cmd.Wait()
		s.record.Line("process %s ended: %v", in.Name, err)
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process of an instance.
func (s *System) Signal(in *Instance, sig syscall.Signal) {
	s.record.Line("signal %s to %s", sig, in.Name)
	_ = in.cmd.Process.Signal(sig)
}

func (in *Instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + in.IP + ":8167/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leader returns the instance named in the claim in the store, nil if there is none.
func (s *System) leader() *Instance {
	claim := s.store.Value("gw/claim")
	for _, in := range s.instances {
		if bytes.Contains(claim, []byte(in.Name)) {
			return in
		}
	}
	return nil
}

// Close ends all processes and removes the temporary folder. KEEP_LOGS=1 keeps it.
func (s *System) Close() {
	for _, in := range s.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill()
			<-in.done
		}
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// Step is a step of a job.
type Step struct {
	Count        int   `json:"count"`
	CPU          int64 `json:"cpu"`
	Mem          int64 `json:"mem-mb"`
	Estimate     int64 `json:"estimate-ms"`
	After        []int `json:"after,omitempty"`
	AntiAffinity int   `json:"anti-affinity,omitempty"`
	LongRunning  bool  `json:"long-running,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var consumers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// Call makes one call of a consumer. The status is 0 if there was no response.
func (s *System) Call(in *Instance, method, id string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.IP+":8161"+prefix+id, reader)
	if err != nil {
		return 0, ""
	}
	req.Host = hostName
	req.Header.Set("X-Deadline", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := consumers.Do(req)
	if err != nil {
		s.record.Line("call   %s %s at %s: no response: %v", method, id, in.Name, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	text := strings.TrimSpace(string(data))
	s.record.Line("call   %s %s at %s: %d %s", method, id, in.Name, resp.StatusCode, text)
	return resp.StatusCode, text
}

// Submit hands a job in, with up to four retries at other instances. It returns whether it was accepted.
func (s *System) Submit(id string, steps ...Step) bool {
	n := rand.IntN(len(s.instances))
	for try := range 5 {
		status, _ := s.Call(s.instances[(n+try)%len(s.instances)], http.MethodPost, id, map[string]any{"spec": "job " + id, "steps": steps})
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// Cancel cancels a job, with up to four retries.
func (s *System) Cancel(id string) bool {
	for range 5 {
		status, _ := s.Call(s.instances[rand.IntN(len(s.instances))], http.MethodDelete, id, nil)
		if status >= 200 && status < 300 || status == http.StatusGone {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// WaitState asks for the state of a job until it is the given one or the time is over.
func (s *System) WaitState(id, state string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(300 * time.Millisecond) {
		if _, body := s.Call(s.instances[rand.IntN(len(s.instances))], http.MethodGet, id, nil); strings.Contains(body, state) {
			return true
		}
	}
	return false
}
