package bodybudget

import (
	"io"
	"time"

	"github.com/juju/errors"
)

const (
	// firstSegment and maxSegment are the sizes of the buffers into which a body is read, in bytes. Each is twice as
	// large as the one before.
	firstSegment = 2 << 10
	maxSegment   = 32 << 10

	// minRate is the rate at which a body must arrive on average once startTime is over, in bytes per second.
	minRate = 4 << 10
	// startTime is the time for which no rate is required of a body.
	startTime = 10 * time.Second
	// maxTime bounds the time in which a body arrives.
	maxTime = 5 * time.Minute
)

var (
	// ErrTooLarge says that a body is larger than allowed.
	ErrTooLarge = errors.New("the body is too large")
	// ErrTooSlow says that a body arrived too slowly.
	ErrTooSlow = errors.New("the body arrives too slowly")
)

// Source is the body of a request and what is known of it.
type Source struct {
	Body io.Reader
	// Length is the length that the sender has declared, in bytes, or -1 if it has not.
	Length int64
	// Limit is the largest length that is allowed.
	Limit int64
	// SetDeadline sets the time at which reads of Body fail; the zero time means never. It may be nil.
	SetDeadline func(time.Time) error
}

// Body is a body that has been read. Its bytes stay charged to the budget until Release.
type Body struct {
	Bytes   []byte
	account *Account
}

// Release gives the bytes back to the budget. Further calls do nothing.
func (b *Body) Release() { b.account.Close() }

// ReadAll reads a body to its end. Its buffers are charged to the budget before they are filled. The body that it
// returns is charged twice, for itself and for what is decoded from it. The error is ErrTooLarge, ErrTooSlow, ErrFull
// or that of the body's reader; nothing is charged then.
func (b *Budget) ReadAll(s Source) (*Body, error) {
	if s.Length > s.Limit {
		return nil, errors.Trace(ErrTooLarge)
	}
	r := &bodyReader{source: s, startedAt: time.Now()}
	r.account = b.Open(func() { _ = r.setDeadline(past) }) // the account says that it was ended, too
	body, err := r.readAll()
	recycle(r.segments)
	if err != nil {
		r.account.Close()
		return nil, err
	}
	return &Body{Bytes: body, account: r.account}, nil
}

// past is a time before all others.
var past = time.Unix(1, 0)

// bodyReader reads one body.
type bodyReader struct {
	source    Source
	account   *Account
	startedAt time.Time
	segments  [][]byte
	size      int64 // of what has been read, in bytes
}

func (r *bodyReader) readAll() ([]byte, error) {
	if err := r.readSegments(); err != nil {
		return nil, err
	}
	r.account.SetReceived()
	if r.account.isEnded() {
		return nil, errors.Trace(ErrFull)
	}
	if err := r.setDeadline(time.Time{}); err != nil {
		return nil, errors.Trace(err)
	}
	return r.join()
}

// readSegments reads the body into segments.
func (r *bodyReader) readSegments() error {
	for next := firstSegment; ; next = min(2*next, maxSegment) {
		// One byte more than is left shows that a body is too large.
		left := r.source.Limit - r.size + 1
		if r.source.Length >= 0 {
			left = r.source.Length - r.size + 1
		}
		size := min(int64(next), left)
		if err := r.account.Grow(size); err != nil {
			return err
		}
		segment := newSegment(int(size))
		ended, err := r.fill(&segment)
		r.segments = append(r.segments, segment)
		if ended || err != nil {
			return err
		}
	}
}

// fill reads until a segment is full or the body has ended.
func (r *bodyReader) fill(segment *[]byte) (ended bool, err error) {
	for len(*segment) < cap(*segment) {
		if err := r.setDeadline(r.deadline()); err != nil {
			return false, errors.Trace(err)
		}
		if r.account.isEnded() {
			return false, errors.Trace(ErrFull)
		}
		n, err := r.source.Body.Read((*segment)[len(*segment):cap(*segment)])
		*segment = (*segment)[:len(*segment)+n]
		r.size += int64(n)
		switch {
		case r.size > r.source.Limit:
			return false, errors.Trace(ErrTooLarge)
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, r.readError(err)
		}
		r.account.noteProgress(n)
	}
	return false, nil
}

// readError returns the error of a body whose reader returned err.
func (r *bodyReader) readError(err error) error {
	switch {
	case r.account.isEnded():
		return errors.Trace(ErrFull)
	case !time.Now().Before(r.deadline()):
		return errors.Trace(ErrTooSlow)
	default:
		return errors.Trace(err)
	}
}

// deadline returns the time until which the next bytes must have arrived.
func (r *bodyReader) deadline() time.Time {
	allowed := startTime + time.Duration(r.size)*time.Second/minRate
	return r.startedAt.Add(min(allowed, maxTime))
}

func (r *bodyReader) setDeadline(t time.Time) error {
	if r.source.SetDeadline == nil {
		return nil
	}
	return r.source.SetDeadline(t)
}

// join returns the body in one piece.
func (r *bodyReader) join() ([]byte, error) {
	if err := r.account.Grow(r.size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, r.size)
	for _, segment := range r.segments {
		body = append(body, segment...)
	}
	return body, r.account.Set(min(2*r.size, r.account.Bytes()))
}

// noteProgress records that some bytes of the request have arrived.
func (a *Account) noteProgress(bytes int) {
	if bytes == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progressAt = time.Now()
}

// isEnded reports whether the request was ended in favour of others.
func (a *Account) isEnded() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.ended
}
