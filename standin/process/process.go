// Package process starts the stand-ins and the entry instances as child processes, and makes JSON
// calls to them.
package process

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// StoreAddresses is the line that the store stand-in prints once its listeners are open.
type StoreAddresses struct {
	Listeners []string `json:"listeners"`
	Control   string   `json:"control"`
}

// FleetAddresses is the line that the fleet stand-in prints once its listeners are open.
type FleetAddresses struct {
	Inventory string `json:"inventory"`
	Control   string `json:"control"`
}

// Process is one child process.
type Process struct {
	Name string
	// LogFile is the file with its output.
	LogFile string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
}

// Build compiles a package of the workspace into dir and returns the binary's path.
func Build(ctx context.Context, dir, pkg, name string, flags ...string) (string, error) {
	out := filepath.Join(dir, name)
	args := append([]string{"build", "-o", out}, flags...)
	cmd := exec.CommandContext(ctx, "go", append(args, pkg)...)
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w\n%s", pkg, err, text)
	}
	return out, nil
}

// Start starts a process. Its standard error goes to a log file in dir, and so does its standard
// output if stdout is nil.
func Start(dir, name string, stdout io.Writer, env []string, path string, args ...string) (*Process, error) {
	log := filepath.Join(dir, name+".log")
	file, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = file
	cmd.Stdout = file
	if stdout != nil {
		cmd.Stdout = stdout
	}
	// The kernel kills the child when the process that started it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, LogFile: log, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// StartReady starts a process and decodes the first line that it prints, which is JSON, into ready.
func StartReady(dir, name string, ready any, path string, args ...string) (*Process, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	p, err := Start(dir, name, w, nil, path, args...)
	w.Close()
	if err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(r).ReadBytes('\n')
	if err != nil {
		return nil, fmt.Errorf("%s printed no addresses: %w", name, err)
	}
	return p, json.Unmarshal(line, ready)
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Wait returns the result of the process, or an error if it has not ended within limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("%s did not end within %s", p.Name, limit)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// controlTimeout bounds a call to a control listener.
const controlTimeout = 10 * time.Second

// Call makes a JSON call: a POST if in is given, a GET otherwise. A nil out ignores the answer.
func Call(ctx context.Context, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if in == nil {
		return DoJSON(ctx, http.MethodGet, url, nil, out)
	}
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return DoJSON(ctx, http.MethodPost, url, data, out)
}

// DoJSON makes one HTTP call and decodes its JSON answer into out, which may be nil. A
// status other than 2xx is an error with the body's text.
func DoJSON(ctx context.Context, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, bytes.TrimSpace(data))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
