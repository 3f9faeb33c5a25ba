package route

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Headers of the requests of callers, of the requests to targets, and of their responses.
const (
	HeaderKey      = "Geraniumwick-Key"
	HeaderTimeout  = "Geraniumwick-Timeout"
	HeaderCustomer = "Geraniumwick-Customer"
	HeaderVerdict  = "Geraniumwick-Verdict"
	HeaderAttempt  = "Geraniumwick-Attempt"
	HeaderNotAfter = "Geraniumwick-Not-After"
)

const (
	// dialTimeout bounds the dial of a target.
	dialTimeout = time.Second
	// idleTimeout is short, so that a target rarely closes an idle connection at the moment
	// at which a request is written to it.
	idleTimeout = 5 * time.Second
	// maxIdleConnsPerTarget bounds the idle connections to one target.
	maxIdleConnsPerTarget = 8
	// maxResponseHeaderBytes bounds the header of a response, in bytes.
	maxResponseHeaderBytes = 64 << 10
)

// echoSupport records whether a target returns the attempt header. Without the header, a response
// that was sent twice cannot be distinguished from the response to the next request on the same
// connection.
type echoSupport struct{ supported atomic.Bool }

// sender sends HTTP requests to targets, one attempt at a time.
type sender struct {
	clock         platform.Clock
	attemptPrefix string
	lastAttempt   atomic.Uint64
	// keepAlive reuses connections; singleUse opens one for each request.
	keepAlive, singleUse *http.Transport
}

// newSender returns a sender whose attempt ids begin with the prefix, which is unique to it.
func newSender(attemptPrefix string, clock platform.Clock, dial func(context.Context, string, string) (net.Conn, error)) *sender {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	dialTracked := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
	keepAlive := &http.Transport{
		DialContext:            dialTracked,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	singleUse := keepAlive.Clone()
	singleUse.DisableKeepAlives = true
	return &sender{clock: clock, attemptPrefix: attemptPrefix, keepAlive: keepAlive, singleUse: singleUse}
}

// closeIdle closes the idle connections.
func (s *sender) closeIdle() { s.keepAlive.CloseIdleConnections() }

// send performs one attempt. It calls stillUsable when the attempt has a connection, just before
// the request is written, and writes nothing if it returns false.
func (s *sender) send(ctx context.Context, t *target, r Request, stillUsable func() bool) (Response, *verdict.Error) {
	attempt := s.attemptPrefix + strconv.FormatUint(s.lastAttempt.Add(1), 10)
	observer := &connObserver{stillUsable: stillUsable}
	req := s.request(observer.trace(ctx), t, r, attempt)
	resp, err := s.transport(t, r).RoundTrip(req)
	if err != nil {
		return Response{}, observer.attemptError(ctx, err)
	}
	defer resp.Body.Close()
	response, failure := readResponse(ctx, resp)
	if failure == nil {
		failure = checkAttemptEcho(t, resp, attempt)
	}
	if failure != nil {
		return Response{}, failure
	}
	response.Target = t.ID
	return response, nil
}

// transport returns the transport that reuses connections only for idempotent requests to targets
// that return the attempt header. If the target closes a reused connection, the outcome of a
// request is unknown, and a duplicate response could be taken for the response to the next request.
func (s *sender) transport(t *target, r Request) *http.Transport {
	if r.Class == model.Idempotent && t.attemptEcho.supported.Load() {
		return s.keepAlive
	}
	return s.singleUse
}

// request builds the HTTP request of an attempt.
func (s *sender) request(ctx context.Context, t *target, r Request, attempt string) *http.Request {
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: t.Addr, Path: "/" + strings.TrimPrefix(r.Path, "/")},
		Header:        http.Header{},
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	setHeader(req.Header, "Content-Type", r.ContentType)
	setHeader(req.Header, HeaderCustomer, string(r.Customer))
	setHeader(req.Header, HeaderKey, string(r.Key))
	setHeader(req.Header, HeaderAttempt, attempt)
	setHeader(req.Header, HeaderNotAfter, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	return req.WithContext(ctx)
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// readResponse reads the complete response, or fails. It refuses a response without a length,
// because the end of the connection may also be the effect of a truncation.
func readResponse(ctx context.Context, resp *http.Response) (Response, *verdict.Error) {
	if resp.ContentLength < 0 && !isChunked(resp) {
		return Response{}, verdict.New(verdict.MayHaveRun, verdict.ReasonTruncated, "response has no Content-Length and is not chunked")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBodyBytes+1))
	if err != nil {
		return Response{}, incompleteResponseError(ctx, err)
	}
	if len(body) > MaxResponseBodyBytes {
		return Response{}, verdict.New(verdict.MayHaveRun, verdict.ReasonTruncated, "answer is larger than %d bytes", MaxResponseBodyBytes)
	}
	if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
		return Response{}, verdict.New(verdict.MayHaveRun, verdict.ReasonTruncated, "response has %d bytes, but its Content-Length is %d", len(body), resp.ContentLength)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func isChunked(resp *http.Response) bool {
	n := len(resp.TransferEncoding)
	return n > 0 && resp.TransferEncoding[n-1] == "chunked"
}

// incompleteResponseError returns the error for a response that ended early.
func incompleteResponseError(ctx context.Context, err error) *verdict.Error {
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, contextReason(ctx), "answer not complete: %v", err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonTruncated, "answer not complete: %v", err)
}

// contextReason returns whether the context ended by cancellation or by its deadline.
func contextReason(ctx context.Context) verdict.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.ReasonCancelled
	}
	return verdict.ReasonDeadline
}

// checkAttemptEcho checks that the response belongs to the attempt. A target that has returned the
// attempt header once must always return it. A refusal with the header of the attempt and the
// verdict not-run proves that the request was not executed.
func checkAttemptEcho(t *target, resp *http.Response, attempt string) *verdict.Error {
	echoed := resp.Header.Get(HeaderAttempt)
	if echoed == "" && !t.attemptEcho.supported.Load() {
		return nil
	}
	if echoed != attempt {
		t.attemptEcho.supported.Store(false)
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetFailed, "received the response to attempt %q for attempt %q", echoed, attempt)
	}
	t.attemptEcho.supported.Store(true)
	if resp.Header.Get(HeaderVerdict) == verdict.NotRun.String() {
		return verdict.New(verdict.NotRun, verdict.ReasonTargetFailed, "target refused with status %d", resp.StatusCode)
	}
	return nil
}

// connObserver records which connections an attempt used and whether anything was written to them.
type connObserver struct {
	stillUsable func() bool
	uses        []connUse
	withdrawn   bool
}

// connUse is a connection and the number of writes on it before the attempt.
type connUse struct {
	conn   *trackedConn
	writes uint64
}

// trace adds the observer to the context of the request.
func (o *connObserver) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: o.gotConn})
}

// gotConn is called before any part of the request is written. If the target is no longer usable,
// it seals the connection so that the request is not sent.
func (o *connObserver) gotConn(info httptrace.GotConnInfo) {
	c := info.Conn.(*trackedConn) // newSender wraps every connection in a trackedConn
	use := connUse{conn: c, writes: c.writeCount()}
	o.uses = append(o.uses, use)
	if !o.stillUsable() {
		o.withdrawn = c.seal(use.writes)
	}
}

// attemptError returns the error for an attempt without a response. Its verdict is NotRun only if
// nothing was written to any connection of the attempt and all of them are sealed.
func (o *connObserver) attemptError(ctx context.Context, err error) *verdict.Error {
	v := verdict.NotRun
	for _, use := range o.uses {
		if !use.conn.seal(use.writes) {
			v = verdict.MayHaveRun
		}
	}
	if ctx.Err() != nil {
		return verdict.New(v, contextReason(ctx), "no answer: %v", err)
	}
	if o.withdrawn && v == verdict.NotRun {
		return verdict.New(v, reasonWithdrawn, "target takes no new requests")
	}
	return verdict.New(v, verdict.ReasonTargetFailed, "no answer: %v", err)
}

// reasonWithdrawn marks an attempt that was not sent because its target became unusable. It is
// internal and never returned to the caller.
const reasonWithdrawn verdict.Reason = "withdrawn"
