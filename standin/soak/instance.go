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
	frontPort = 8161
	readyPort = 8167
	peerPort  = 7720
	// graceTime is the time from a SIGTERM to the end.
	graceTime = 6 * time.Second
)

// instance is one entry instance as a process.
type instance struct {
	name   string
	ip     string
	dir    string
	binary string
	store  *Proxy // its way to the store
	*child
}

// child is one life of an instance's process.
type child struct {
	proc   *process.Process
	frozen bool
	// ending says that the soak has asked the process to end, and killed that it has not
	// waited for it.
	ending, killed bool
}

// settingsText is the platform's settings file of an instance.
const settingsText = `node-name: %q
ip: %q
zone: "a"
listen: {front: "%s:%d", ready: "%s:%d"}
internal-ports: [%d, %d]
limits: {cpu-share: 1, cores: 1, memory-mb: 512}
bounds: {hold-max-ms: %d, grace-s: %d, status_s: 120}
orders: "invoke"
platform: {address: %q, ttl-min-ms: 1000}
`

func newInstance(name, ip, dir, binary, storeAddress string) (*instance, error) {
	link, err := NewProxy(ip+":0", storeAddress)
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, ip: ip, dir: dir, binary: binary, store: link}
	text := fmt.Sprintf(settingsText, name, ip, ip, frontPort, ip, readyPort, peerPort, peerPort+15,
		maxHold.Milliseconds(), int(graceTime.Seconds()), link.Address())
	if err := os.WriteFile(i.settings(), []byte(text), 0o600); err != nil {
		return nil, err
	}
	return i, i.start()
}

func (i *instance) settings() string { return filepath.Join(i.dir, i.name+".yaml") }

func (i *instance) start() error {
	p, err := process.Start(i.dir, i.name, nil, []string{"GERANIUMWICK_BOOT=" + i.settings()}, i.binary, "platform")
	i.child = &child{proc: p}
	return err
}

func (i *instance) front() string { return fmt.Sprintf("%s:%d", i.ip, frontPort) }

// ended reports whether the process is gone.
func (i *instance) ended() bool {
	select {
	case <-i.proc.Done():
		return true
	default:
		return false
	}
}

func (i *instance) kill() {
	i.ending, i.killed = true, true
	i.proc.Kill()
}

// up reports whether the process runs and is not suspended.
func (i *instance) up() bool {
	return !i.ended() && !i.frozen
}

// ready reports whether the instance asks for callers.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", i.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) freeze(on bool) error {
	i.frozen = on
	if on {
		return i.proc.Signal(syscall.SIGSTOP)
	}
	return i.proc.Signal(syscall.SIGCONT)
}

// stop asks the process to end. The returned function waits for its end and reports an
// error if it takes longer than allowed.
func (i *instance) stop() (wait func() error) {
	c := i.child
	c.ending = true
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
