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
	// maxBody bounds the body of a response, in bytes. A value of the store has at most 1 MB, and a
	// list holds many values.
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

// checkURL returns an error unless s is an http or https URL with a host.
func checkURL(s string) error {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Errorf("%q is not an http or https URL", s)
	}
	return nil
}

// callError is a failed HTTP call.
type callError struct {
	// Sent is set if the server may have received the request.
	Sent bool
	// Status is the HTTP status of an unsuccessful response; zero if no response arrived.
	Status int
	// Body is the body of an unsuccessful response.
	Body  []byte
	Cause error
}

// Error implements error.
func (e *callError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.Cause }

// send performs the request and returns the response if its status is 2xx. A request counts as sent
// once it has been given a connection; before that nothing can have reached the server. Later trace
// events cannot be used, because the transport writes the request on another goroutine and may report
// them after client.Do has returned.
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

// callJSON performs the request and decodes the JSON response into out.
func callJSON(ctx context.Context, client *http.Client, method, url string, in, out any) *callError {
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

// readAll reads a response body of at most maxBody bytes.
func readAll(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBody+1))
	if err == nil && len(data) > maxBody {
		return nil, errors.Errorf("answer is larger than %d bytes", maxBody)
	}
	return data, err
}
