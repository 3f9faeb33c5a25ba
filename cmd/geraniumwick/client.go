package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/access"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// maxResponseBytes bounds the part of a response body that is read.
	maxResponseBytes = 64 << 20
	// dialTimeout bounds the attempt to connect to one address, which leaves time to try the next.
	dialTimeout = 2 * time.Second
)

// client calls the operators' listener of an instance.
type client struct {
	addresses []string
	token     string
	actor     string
	timeout   time.Duration
	http      *http.Client
	// progress shows a message during a long call, until the caller calls stop.
	progress func(message func() string) (stop func())
}

// newClient checks the addresses and returns a client.
func newClient(o options, progress func(func() string) func()) (*client, error) {
	c := &client{token: o.token, actor: o.actor, timeout: o.timeout, progress: progress}
	for address := range strings.SplitSeq(o.addresses, ",") {
		address = strings.TrimSuffix(strings.TrimSpace(address), "/")
		u, err := url.Parse(address)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, usagef("--address: %q must be an http or https URL", address)
		}
		c.addresses = append(c.addresses, address)
	}
	tlsConfig, err := loadCA(o.caFile)
	if err != nil {
		return nil, err
	}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: tlsConfig,
	}}
	return c, nil
}

// loadCA returns a TLS configuration with the CA certificates in the file. Without a file it returns
// nil, which selects the certificates of the system.
func loadCA(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, usagef("--ca-file: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, usagef("--ca-file: %s has no certificate", file)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// call makes one call and decodes the response into out. It tries the addresses in order until a
// connection succeeds.
func (c *client) call(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	started := time.Now()
	stop := c.progress(func() string {
		return fmt.Sprintf("waiting for the answer to %s %s (%v)", method, path, time.Since(started).Round(time.Second))
	})
	defer stop()
	var last error
	for _, address := range c.addresses {
		err := c.callOne(ctx, address, method, path, body, out)
		if !isUnreachable(err) {
			return err
		}
		last = err
	}
	return last
}

// callOne makes the call at one address.
func (c *client) callOne(ctx context.Context, address, method, path string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, address+path, bytes.NewReader(body))
	if err != nil {
		return usagef("%v", err)
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	if c.actor != "" {
		r.Header.Set(access.ActorHeader, c.actor)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return transportError(method, address, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return transportError(method, address, err)
	}
	if response.StatusCode/100 != 2 {
		return errorFromResponse(method, content, response.StatusCode)
	}
	if err := json.Unmarshal(content, out); err != nil {
		return transportError(method, address, fmt.Errorf("the answer is not whole: %w", err))
	}
	return nil
}

// transportError returns the error of a call whose response is missing or incomplete. A call that
// could not connect has changed nothing.
func transportError(method, address string, err error) error {
	f := newNoResponseFailure(method, fmt.Sprintf("%s: %v", address, err))
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		f.code, f.Verdict = exitUnreachable, verdict.NotRun
	}
	return f
}

// isUnreachable reports whether the call changed nothing because no instance answered, so that another
// address may be tried.
func isUnreachable(err error) bool {
	var f *failure
	return errors.As(err, &f) && f.code == exitUnreachable
}
