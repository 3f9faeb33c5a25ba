package route

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/reply"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// RequestsPattern is the http.ServeMux pattern of the requests of callers.
	RequestsPattern = "POST /v1/requests/{service}/{path...}"
	// MaxKeyBytes bounds a request key and a customer, in bytes.
	MaxKeyBytes = 128
	// maxContentTypeBytes bounds the content type of a request, in bytes.
	maxContentTypeBytes = 256
)

// Handler returns the handler of RequestsPattern.
func Handler(d *Dispatcher) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r, err := decodeRequest(w, req, d.Document(), d.clock.Now())
		if err != nil {
			reply.Error(w, err)
			return
		}
		resp, failure := d.Do(req.Context(), r)
		if failure != nil {
			reply.Error(w, failure)
			return
		}
		writeResponse(w, resp)
	})
}

// decodeRequest decodes the request of a caller. Its errors have the verdict NotRun.
func decodeRequest(w http.ResponseWriter, req *http.Request, doc *config.Document, now time.Time) (Request, error) {
	r := Request{
		Service:     model.Service(req.PathValue("service")),
		Path:        req.PathValue("path"),
		Customer:    model.Customer(req.Header.Get(HeaderCustomer)),
		ContentType: req.Header.Get("Content-Type"),
	}
	if doc == nil {
		return r, verdict.New(verdict.NotRun, verdict.ReasonConfigStale, "no configuration in force")
	}
	requestType, err := findRequestType(doc, r.Service, r.Path)
	if err != nil {
		return r, err
	}
	r.Class = requestType.Class
	if r.Key, err = decodeKey(req.Header.Get(HeaderKey), r.Service, r.Class); err != nil {
		return r, err
	}
	if !isShortToken(string(r.Customer)) || len(r.ContentType) > maxContentTypeBytes {
		return r, invalidRequest("header %s or Content-Type is too long or not printable", HeaderCustomer)
	}
	timeout, err := decodeTimeout(req.Header.Get(HeaderTimeout), requestType.Deadline)
	if err != nil {
		return r, err
	}
	r.Deadline = now.Add(timeout)
	r.Body, err = reply.ReadBody(w, req, MaxRequestBodyBytes)
	return r, err
}

// findRequestType returns the type of the request. Paths match with or without a leading slash.
func findRequestType(doc *config.Document, name model.Service, path string) (config.RequestType, error) {
	service, found := doc.FindService(name)
	if !found {
		return config.RequestType{}, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "unknown service %q", name)
	}
	requestType, found := service.FindRequest("/" + path)
	if !found {
		requestType, found = service.FindRequest(path)
	}
	if !found {
		return config.RequestType{}, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "service %s has no request %q", name, path)
	}
	return requestType, nil
}

// decodeKey returns the key of the request. An idempotent request without a key gets a random one,
// so that its audit trail can be looked up.
func decodeKey(key string, service model.Service, class model.RequestClass) (model.RequestKey, error) {
	if key == "" && class == model.Idempotent {
		key = uuid.NewString()
	}
	if key == "" {
		return "", invalidRequest("class %s needs the header %s", class, HeaderKey)
	}
	if !isShortToken(key) {
		return "", invalidRequest("header %s is longer than %d bytes or not printable", HeaderKey, MaxKeyBytes)
	}
	return model.RequestKey(string(service) + "/" + key), nil
}

// isShortToken reports whether s has at most MaxKeyBytes bytes and only printable ASCII characters
// without spaces.
func isShortToken(s string) bool {
	if len(s) > MaxKeyBytes {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// decodeTimeout returns the timeout of the caller, limited to longest, which is also the default.
func decodeTimeout(text string, longest time.Duration) (time.Duration, error) {
	if text == "" {
		return longest, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, invalidRequest("header %s is not a positive number of milliseconds", HeaderTimeout)
	}
	return min(time.Duration(ms)*time.Millisecond, longest), nil
}

func invalidRequest(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.ReasonInvalid, format, args...)
}

// writeResponse writes the response of a target to the caller.
func writeResponse(w http.ResponseWriter, resp Response) {
	h := w.Header()
	setHeader(h, "Content-Type", resp.ContentType)
	h.Set(HeaderVerdict, verdict.Ran.String())
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // the caller may have disconnected
}
