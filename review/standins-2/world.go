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
	service     = "levy-desk"
	routeHost   = "jobs.example"
	routePrefix = "/jobs/"
	deadlineMS  = 3000
	instances   = 3
)

// world is a small deployment: three instances as processes, and stand-ins of the store and of the runners.
type world struct {
	dir, binary, temp string
	trouble           bool
	rec               *recorder
	store             *store
	storeAddress      string
	history           *history
	runners           []*runner
	instances         []*instance
	address           func(n int) string
	statusS           int
	advice            string
	client            *http.Client
}

// instance is an entry instance.
type instance struct {
	name, ip, zone, settings string
	cmd                      *exec.Cmd
	done                     chan struct{}
}

func (i *instance) front() string { return i.ip + ":8161" }
func (i *instance) ready() string { return i.ip + ":8167" }

// loopback returns a function that gives the addresses of a loopback range in which nothing listens on the ports of
// an instance.
func loopback() (func(n int) string, error) {
	for range 20 {
		a, b := 10+rand.IntN(200), rand.IntN(250)
		address := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", a, b, n+1) }
		free := true
		for n := range instances {
			for _, port := range []string{"8161", "8167", "7720", "9464"} {
				l, err := net.Listen("tcp", address(10+n)+":"+port)
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return address, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func newWorld(dir, binary string, trouble bool) (*world, error) {
	w := &world{dir: dir, binary: binary, trouble: trouble, store: newStore(), history: &history{}, statusS: 120}
	w.client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var err error
	if w.rec, err = newRecorder(dir); err != nil {
		return nil, err
	}
	if w.address, err = loopback(); err != nil {
		return nil, err
	}
	if w.temp, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", net.JoinHostPort(w.address(0), "0"))
	if err != nil {
		return nil, err
	}
	w.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	return w, nil
}

// queue is a route of the configuration.
type queue struct {
	name, prefix string
	priority     int
	advice       map[string]int
}

// configure writes a version of the configuration.
func (w *world) configure(version int, queues ...queue) {
	var routes []map[string]any
	for _, q := range queues {
		route := map[string]any{
			"name": q.name, "host": routeHost, "prefix": q.prefix, "kind": "non_idempotent", "timeout-ms": deadlineMS,
			"target-duration-ms": 1000, "priority": q.priority, "service": service, "max-attempts": 4, "stretch": 2.0,
		}
		if q.advice != nil {
			route["advice"] = q.advice
		}
		routes = append(routes, route)
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-s": 0, "cold-per-s": 0, "admission-check": false, "spare": false}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

func (w *world) addRunners(n int) error {
	for i := range n {
		r, err := newRunner(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), []string{"cairo-a", "cairo-b", "cairo-c"}[i%3], service, w.address(100), 6*time.Second, w)
		if err != nil {
			return err
		}
		w.runners = append(w.runners, r)
	}
	return nil
}

// settingsText has the layout of the settings file on the deploy page.
const settingsText = `node-name: %q
role: "entry"
machine-class: "edge"
serves:
  - "edge"
ip: %q
zone: %q
region: "cairo"
zones:
  cairo-a: "cairo"
  cairo-b: "cairo"
  cairo-c: "cairo"
listen:
  front: "%s:8161"
  ready: "%s:8167"
internal-ports:
  - 7720
  - 7735
seeds: []
bootstrap: true
limits:
  cpu-share: 0.4
  cores: 1
  memory-mb: 284
  max-fds: 4100
  link-mbps: 1000.0
  disk-mb: 0
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1100
bounds:
  contact-ms: 3000
  ack-ms: 4000
  drain-ms: 2000
  grace-s: 6
  config-ms: 2000
  hold-max-ms: 6000
  stop-ms: 400
  gang-ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: %d
  require-fencing: true
  lease-ms: 3000
orders: "invoke"
advice: %q
platform:
  address: %q
  form: "kv"
  writes-per-s: 400
  reads-per-s: 2000
  history-s: 20
  value-bytes: 1048576
  ttl-min-ms: 1000
`

func (w *world) writeSettings(i *instance) error {
	text := fmt.Sprintf(settingsText, i.name, i.ip, i.zone, i.ip, i.ip, w.statusS, w.advice, w.storeAddress)
	return os.WriteFile(i.settings, []byte(text), 0o600)
}

// startInstances starts the instances with the command of the deploy file and waits until they are ready and one leads.
func (w *world) startInstances() error {
	for n := range instances {
		name := fmt.Sprintf("edge-%d", n+1)
		i := &instance{name: name, ip: w.address(10 + n), zone: []string{"cairo-a", "cairo-b", "cairo-c"}[n], settings: filepath.Join(w.temp, name+".yaml")}
		if err := w.writeSettings(i); err != nil {
			return err
		}
		if err := w.start(i); err != nil {
			return err
		}
		w.instances = append(w.instances, i)
	}
	for begun := time.Now(); time.Since(begun) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
		if w.allReady() && w.store.count("gw/claim") > 0 && w.store.count("gw/out/workers") > 0 {
			return nil
		}
	}
	return errors.New("the instances are not ready; see their logs")
}

func (w *world) start(i *instance) error {
	log, err := os.OpenFile(filepath.Join(w.temp, i.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	i.cmd = exec.Command(w.binary, "platform")
	i.cmd.Env = []string{"GERANIUMWICK_BOOT=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + w.temp}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.done = make(chan struct{})
	go func() { _ = i.cmd.Wait(); close(i.done) }()
	return nil
}

func (w *world) allReady() bool {
	for _, i := range w.instances {
		resp, err := w.client.Get("http://" + i.ready() + "/api/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// close ends all processes that were started.
func (w *world) close(keepLogs bool) {
	for _, i := range w.instances {
		if i.cmd != nil && i.cmd.Process != nil {
			_ = i.cmd.Process.Kill()
			<-i.done
		}
	}
	w.rec.close()
	if keepLogs {
		fmt.Println("logs:", w.temp)
		return
	}
	_ = os.RemoveAll(w.temp)
}

// step is a step of a job, as on the wire.
type step map[string]any

// call makes a consumer's call at an instance; status 0 stands for no answer.
func (w *world) call(ctx context.Context, i *instance, method, path string, body any) (int, string) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	w.rec.line("send   %s %s to %s", method, path, i.name)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.front()+path, bytes.NewReader(text))
	if err != nil {
		return 0, ""
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline", fmt.Sprint(deadlineMS))
	resp, err := w.client.Do(req)
	if err != nil {
		w.rec.line("none   %s %s at %s: no answer", method, path, i.name)
		return 0, ""
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	w.rec.line("answer %s %s at %s: %d %s", method, path, i.name, resp.StatusCode, strings.TrimSpace(string(answer)))
	return resp.StatusCode, string(answer)
}

// any returns an instance, as the balancer does.
func (w *world) any() *instance { return w.instances[rand.IntN(len(w.instances))] }

// submit hands a job in until it is accepted, as consumers do: four retries.
func (w *world) submit(prefix, id, spec string, steps []step) bool {
	for range 5 {
		status, _ := w.call(context.Background(), w.any(), http.MethodPost, prefix+id, map[string]any{"spec": spec, "steps": steps})
		switch {
		case status/100 == 2:
			return true
		case status == http.StatusNotFound || status == http.StatusBadRequest:
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job; empty if there is no answer.
func (w *world) state(prefix, id string) string {
	status, body := w.call(context.Background(), w.any(), http.MethodGet, prefix+id, nil)
	if status == http.StatusGone {
		return "410"
	}
	var b struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(body), &b) != nil {
		return ""
	}
	return b.State
}

// jobID returns the id of the n-th job.
func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+n) }
