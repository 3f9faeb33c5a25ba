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

// Headers towards callers and targets.
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
	// idleTimeout is short, so that a target rarely closes a connection while a request
	// is written to it.
	idleTimeout = 5 * time.Second
	// idlePerTarget bounds the idle connections to one target.
	idlePerTarget = 8
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 64 << 10
)

// identity says whether a target returns the attempt header. Only then can an answer that
// was sent twice be told from that of the next request on the same connection.
type identity struct{ echoes atomic.Bool }

// sender performs single HTTP exchanges.
type sender struct {
	clock  platform.Clock
	prefix string
	number atomic.Uint64
	// reusing keeps connections for further requests; fresh opens one for each request.
	reusing, fresh *http.Transport
}

// newSender returns a sender whose attempt ids begin with the prefix, which is unique to it.
func newSender(prefix string, clock platform.Clock, dial func(context.Context, string, string) (net.Conn, error)) *sender {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	tracked := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
	reusing := &http.Transport{
		DialContext:            tracked,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
	fresh := reusing.Clone()
	fresh.DisableKeepAlives = true
	return &sender{clock: clock, prefix: prefix, reusing: reusing, fresh: fresh}
}

// closeIdle closes the connections that no request uses.
func (s *sender) closeIdle() { s.reusing.CloseIdleConnections() }

// send performs one attempt. admissible is asked again just before the request is written.
func (s *sender) send(ctx context.Context, t *target, r Request, admissible func() bool) (Response, *verdict.Error) {
	attempt := s.prefix + strconv.FormatUint(s.number.Add(1), 10)
	w := &witness{admissible: admissible}
	req := s.request(w.trace(ctx), t, r, attempt)
	resp, err := s.transport(t, r).RoundTrip(req)
	if err != nil {
		return Response{}, w.judge(ctx, err)
	}
	defer resp.Body.Close()
	answer, refusal := read(ctx, resp)
	if refusal == nil {
		refusal = identify(t, resp, attempt)
	}
	if refusal != nil {
		return Response{}, refusal
	}
	answer.Target = t.ID
	return answer, nil
}

// transport reuses connections only for requests that may be repeated and targets that
// identify their answers. A connection that the target is closing makes the outcome of a
// request unknown, and a second copy of an answer could be taken for that of the next.
func (s *sender) transport(t *target, r Request) *http.Transport {
	if r.Class == model.Idempotent && t.identity.echoes.Load() {
		return s.reusing
	}
	return s.fresh
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

// read takes the whole answer, or fails. An answer whose end is marked only by the end of
// the connection cannot be told from a truncated one.
func read(ctx context.Context, resp *http.Response) (Response, *verdict.Error) {
	if resp.ContentLength < 0 && !isChunked(resp) {
		return Response{}, verdict.New(verdict.MayHaveRun, verdict.ReasonTruncated, "answer does not state its length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBodyBytes+1))
	if err != nil {
		return Response{}, brokenAnswer(ctx, err)
	}
	if len(body) > MaxResponseBodyBytes {
		return Response{}, verdict.New(verdict.MayHaveRun, verdict.ReasonTruncated, "answer is larger than %d bytes", MaxResponseBodyBytes)
	}
	if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
		return Response{}, verdict.New(verdict.MayHaveRun, verdict.ReasonTruncated, "answer of %d bytes, %d were announced", len(body), resp.ContentLength)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func isChunked(resp *http.Response) bool {
	n := len(resp.TransferEncoding)
	return n > 0 && resp.TransferEncoding[n-1] == "chunked"
}

// brokenAnswer returns the error of an answer that ended early.
func brokenAnswer(ctx context.Context, err error) *verdict.Error {
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, contextReason(ctx), "answer not complete: %v", err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonTruncated, "answer not complete: %v", err)
}

// contextReason tells the caller's departure from the deadline.
func contextReason(ctx context.Context) verdict.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.ReasonCancelled
	}
	return verdict.ReasonDeadline
}

// identify checks that the answer is that of the attempt. A target that has returned the
// attempt header once has to return it always. An identified refusal proves that the
// request was not executed.
func identify(t *target, resp *http.Response, attempt string) *verdict.Error {
	echo := resp.Header.Get(HeaderAttempt)
	if echo == "" && !t.identity.echoes.Load() {
		return nil
	}
	if echo != attempt {
		t.identity.echoes.Store(false)
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetFailed, "answer to attempt %q arrived for attempt %q", echo, attempt)
	}
	t.identity.echoes.Store(true)
	if resp.Header.Get(HeaderVerdict) == verdict.NotRun.String() {
		return verdict.New(verdict.NotRun, verdict.ReasonTargetFailed, "target refused with status %d", resp.StatusCode)
	}
	return nil
}

// witness observes which connections an attempt was given.
type witness struct {
	admissible func() bool
	uses       []connUse
	withdrawn  bool
}

// connUse is a connection and the number of writes before the attempt.
type connUse struct {
	conn   *trackedConn
	writes uint64
}

// trace adds the witness to the context of the request.
func (w *witness) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
}

// gotConn is called before anything of the request is written. If the target must not
// receive it any more, the connection is sealed.
func (w *witness) gotConn(info httptrace.GotConnInfo) {
	c := info.Conn.(*trackedConn) // all connections come from the tracking dialer
	use := connUse{conn: c, writes: c.writeCount()}
	w.uses = append(w.uses, use)
	if !w.admissible() {
		w.withdrawn = c.seal(use.writes)
	}
}

// judge returns the error of an attempt without an answer. It is NotRun only if nothing
// was written to any connection and nothing can be written any more.
func (w *witness) judge(ctx context.Context, err error) *verdict.Error {
	v := verdict.NotRun
	for _, use := range w.uses {
		if !use.conn.seal(use.writes) {
			v = verdict.MayHaveRun
		}
	}
	if ctx.Err() != nil {
		return verdict.New(v, contextReason(ctx), "no answer: %v", err)
	}
	if w.withdrawn && v == verdict.NotRun {
		return verdict.New(v, reasonWithdrawn, "target takes no new requests")
	}
	return verdict.New(v, verdict.ReasonTargetFailed, "no answer: %v", err)
}

// reasonWithdrawn marks an attempt that was taken back because its target is leaving. It
// does not reach the caller.
const reasonWithdrawn verdict.Reason = "withdrawn"
