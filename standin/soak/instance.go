package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/geraniumwick/geraniumwick/standin/process"
)

const (
	callerPort = 8161
	readyPort  = 8167
	peerPort   = 7720
	// graceTime is the longest time from SIGTERM to the exit of the process.
	graceTime = 6 * time.Second
)

// instance is one entry instance of geraniumwickd, which runs as a process and is restarted after
// faults.
type instance struct {
	name       string
	ip         string
	dir        string
	binary     string
	storeProxy *Proxy // carries the instance's connections to the store
	*child
}

// child is one process of an instance; each restart creates a new one.
type child struct {
	proc   *process.Process
	frozen bool
	// exitExpected is set when the soak has sent SIGTERM or SIGKILL; an exit without it is a
	// violation. killed is set when the soak has sent SIGKILL, after which stop does not check
	// the exit.
	exitExpected, killed bool
}

// settingsText is the format of the settings file that the platform gives to an instance.
const settingsText = `node-name: %q
ip: %q
zone: "a"
listen: {front: "%s:%d", ready: "%s:%d"}
internal-ports: [%d, %d]
limits: {cpu-share: 1, cores: 1, memory-mb: 512}
bounds: {hold-max-ms: %d, grace-s: %d, status_s: %d, strict-revoke: %t, revoke-ms: %d}
orders: "invoke"
advice: %q
platform: {address: %q, ttl-min-ms: 1000}
`

// instanceSettings are what the settings files of all instances say.
type instanceSettings struct {
	maxLease, revocationBound, statusTime time.Duration
	advice                                string // address of the advice service
}

func newInstance(name, ip, dir, binary, storeAddress string, s instanceSettings) (*instance, error) {
	proxy, err := NewProxy(ip+":0", storeAddress)
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, ip: ip, dir: dir, binary: binary, storeProxy: proxy}
	if err := i.writeSettings(s); err != nil {
		return nil, err
	}
	return i, i.start()
}

// writeSettings writes the settings file.
func (i *instance) writeSettings(s instanceSettings) error {
	text := fmt.Sprintf(settingsText, i.name, i.ip, i.ip, callerPort, i.ip, readyPort, peerPort, peerPort+15, s.maxLease.Milliseconds(), int(graceTime.Seconds()),
		int(s.statusTime.Seconds()), s.revocationBound > 0, s.revocationBound.Milliseconds(), s.advice, i.storeProxy.Address())
	return os.WriteFile(i.settingsFile(), []byte(text), 0o600)
}

func (i *instance) settingsFile() string { return filepath.Join(i.dir, i.name+".yaml") }

func (i *instance) start() error {
	p, err := process.Start(i.dir, i.name, nil, []string{"GERANIUMWICK_BOOT=" + i.settingsFile()}, i.binary, "platform")
	i.child = &child{proc: p}
	return err
}

func (i *instance) callerAddress() string { return fmt.Sprintf("%s:%d", i.ip, callerPort) }

// exited reports whether the process has exited.
func (i *instance) exited() bool {
	select {
	case <-i.proc.Done():
		return true
	default:
		return false
	}
}

func (i *instance) kill() {
	i.exitExpected, i.killed = true, true
	i.proc.Kill()
}

// up reports whether the process is running and not suspended.
func (i *instance) up() bool {
	return !i.exited() && !i.frozen
}

// ready reports whether the instance's readiness check succeeds.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", i.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// setFrozen suspends the process with SIGSTOP, or resumes it.
func (i *instance) setFrozen(frozen bool) error {
	i.frozen = frozen
	if frozen {
		return i.proc.Signal(syscall.SIGSTOP)
	}
	return i.proc.Signal(syscall.SIGCONT)
}

// stop sends SIGTERM to the process. The returned function waits for its exit and returns an error
// if the exit takes longer than graceTime or has a non-zero status. The exit of a process that was
// killed or is suspended is not checked.
func (i *instance) stop() (wait func() error) {
	c := i.child
	c.exitExpected = true
	if c.proc.Signal(syscall.SIGTERM) != nil {
		return func() error { return nil } // it was killed meanwhile
	}
	return func() error {
		if err := c.proc.Wait(graceTime); err != nil && !c.killed && !c.frozen {
			c.proc.Kill()
			return fmt.Errorf("%s after SIGTERM: %w", i.name, err)
		}
		return nil
	}
}
