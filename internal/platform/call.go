package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Limits of the HTTP clients.
const (
	dialTimeout     = 1 * time.Second
	idleConnTimeout = 90 * time.Second
	// maxBody bounds every answer, in bytes. A value of the store holds at most 1 MB, and a
	// list holds many of them.
	maxBody = 64 << 20
)

// newHTTPClient returns a client that keeps connections open for reuse.
func newHTTPClient(idlePerHost int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// checkURL accepts the URL of a server, without a path.
func checkURL(s string) error {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Errorf("%q is not an http or https URL", s)
	}
	return nil
}

// callError is a failed HTTP call.
type callError struct {
	// Sent says that the server may have received the request.
	Sent bool
	// Status is the HTTP status of an answer that is not a success, or zero.
	Status int
	// Body is the body of such an answer.
	Body  []byte
	Cause error
}

// Error implements error.
func (e *callError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.Cause }

// send performs the request and returns an answer with a success status. A request counts
// as sent from the moment it was given a connection: the transport writes it on another
// goroutine, so its later trace events may come after an early return. Before that moment
// nothing can have reached the server.
func send(ctx context.Context, client *http.Client, method, url string, in any) (*http.Response, *callError) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, &callError{Cause: errors.Trace(err)}
		}
		body = bytes.NewReader(data)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, &callError{Cause: errors.Trace(err)}
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, &callError{Sent: sent.Load(), Cause: errors.Trace(err)}
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return nil, &callError{Sent: true, Status: resp.StatusCode, Body: data, Cause: fmt.Errorf("%s %s: %s", method, req.URL.Path, resp.Status)}
}

// exchange performs the request and decodes the JSON answer into out.
func exchange(ctx context.Context, client *http.Client, method, url string, in, out any) *callError {
	resp, callErr := send(ctx, client, method, url, in)
	if callErr != nil {
		return callErr
	}
	defer resp.Body.Close()
	data, err := readAll(resp.Body)
	if err != nil {
		return &callError{Sent: true, Cause: errors.Annotate(err, "reading the answer")}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &callError{Sent: true, Cause: errors.Annotate(err, "decoding the answer")}
	}
	return nil
}

// readAll reads a bounded answer.
func readAll(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBody+1))
	if err == nil && len(data) > maxBody {
		return nil, errors.Errorf("answer is larger than %d bytes", maxBody)
	}
	return data, err
}
