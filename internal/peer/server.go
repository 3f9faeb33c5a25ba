package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/bodybudget"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/refusals"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Server serves the calls of peers. It is the http.Handler for the path /peer.
type Server struct {
	self     model.InstanceID
	log      zerolog.Logger
	budget   *bodybudget.Budget
	recorder *refusals.Recorder

	mu       sync.Mutex
	handlers map[Kind]*limitedHandler
	conns    map[*websocket.Conn]bool
	draining bool
	running  sync.WaitGroup
}

// limitedHandler is a handler with a limit on concurrent calls. Each call that is being
// executed holds one slot.
type limitedHandler struct {
	handle Handler
	slots  chan struct{}
}

// NewServer returns a server without handlers.
func NewServer(self model.InstanceID, log zerolog.Logger) *Server {
	return &Server{
		self:     self,
		log:      log,
		budget:   bodybudget.New(defaultBudgetBytes, tally.NoopScope),
		recorder: refusals.New("peer-messages", tally.NoopScope, log),
		handlers: map[Kind]*limitedHandler{},
		conns:    map[*websocket.Conn]bool{},
	}
}

// SetBudget sets what messages are charged to while they are received, and what records those for which there was no
// room. It must be called before the first connection.
func (s *Server) SetBudget(b *bodybudget.Budget, r *refusals.Recorder) { s.budget, s.recorder = b, r }

// Handle registers the handler of a kind.
func (s *Server) Handle(k Kind, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[k] = &limitedHandler{handle: h, slots: make(chan struct{}, MaxCallsPerKind)}
}

// ServeHTTP serves one connection until it closes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxHelloBytes)
	if !s.track(ws) {
		_ = ws.Close(websocket.StatusGoingAway, "shutting down")
		return
	}
	defer s.untrack(ws)
	from, err := s.serverHandshake(ws)
	if err != nil {
		s.log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("handshake with a peer failed")
		return
	}
	ws.SetReadLimit(MaxMessageBytes)
	s.serve(ws, from)
}

// serverHandshake reads the hello of the peer, sends that of this instance and returns the
// ID of the peer.
func (s *Server) serverHandshake(ws *websocket.Conn) (model.InstanceID, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	_, message, err := ws.Read(ctx)
	if err != nil {
		return "", err
	}
	var h hello
	if err := decMode.Unmarshal(message, &h); err != nil {
		return "", err
	}
	if h.Version != Version || h.Sender == "" {
		_ = ws.Close(websocket.StatusPolicyViolation, "unknown protocol version")
		return "", verdict.New(verdict.NotRun, verdict.ReasonInvalid, "invalid hello: sender %q, protocol version %d", h.Sender, h.Version)
	}
	encoded, err := encMode.Marshal(hello{Version: Version, Sender: s.self})
	if err != nil {
		return "", err
	}
	return h.Sender, write(ws, encoded)
}

// serve reads calls until the connection closes and executes each in its own goroutine.
func (s *Server) serve(ws *websocket.Conn, from model.InstanceID) {
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		keepAlive(ws, closed)
		_ = ws.CloseNow()
	}()
	for {
		message, err := s.readMessage(ws)
		if err != nil {
			return
		}
		var r request
		if err := decMode.Unmarshal(message.Bytes, &r); err != nil {
			message.Release()
			s.log.Error().Err(err).Str("peer", string(from)).Msg("cannot decode a message of a peer")
			return
		}
		s.dispatch(ws, from, r, message.Release)
	}
}

// readMessage reads the next message, whose bytes are charged to the budget as they arrive. If that is full, the
// connection is closed, as for any other error: a message can only be read as a whole.
func (s *Server) readMessage(ws *websocket.Conn) (*bodybudget.Body, error) {
	_, reader, err := ws.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	message, err := s.budget.ReadAll(bodybudget.Source{Body: reader, Length: -1, Limit: MaxMessageBytes})
	if errors.Is(err, bodybudget.ErrFull) {
		s.recorder.Record(refusals.BytesHeld)
	}
	return message, err
}

// dispatch executes a call in a new goroutine, or refuses it. It calls release when the message of the call is no longer
// needed.
func (s *Server) dispatch(ws *websocket.Conn, from model.InstanceID, r request, release func()) {
	h, refusal := s.acquireSlot(r.Kind)
	if refusal != nil {
		release()
		s.send(ws, response{ID: r.ID, Err: refusal})
		return
	}
	go func() {
		defer func() {
			<-h.slots
			s.running.Done()
		}()
		result := s.execute(h, from, r)
		release()
		s.send(ws, result)
	}()
}

// acquireSlot takes a slot of the handler of the kind, or returns the reason for which the
// call is not executed.
func (s *Server) acquireSlot(k Kind) (*limitedHandler, *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonShutdown, "instance %s is stopping", s.self)
	}
	h := s.handlers[k]
	if h == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "no handler for calls of kind %d", k)
	}
	select {
	case h.slots <- struct{}{}:
		s.running.Add(1)
		return h, nil
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "%d calls of kind %d are being executed", MaxCallsPerKind, k)
	}
}

// execute runs the handler. A panic is recovered and reported as MayHaveRun. Otherwise a call
// that triggers it and is retried elsewhere could crash one instance after the other.
func (s *Server) execute(h *limitedHandler, from model.InstanceID, r request) (result response) {
	result.ID = r.ID
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Error().Interface("panic", cause).Uint8("kind", uint8(r.Kind)).Msg("handler of a peer call panicked")
			result = response{ID: r.ID, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonPeerUnreachable, "handler panicked")}
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), min(r.Timeout, time.Hour))
	defer cancel()
	reply, err := h.handle(ctx, from, r.Body)
	if err != nil {
		result.Err = verdict.From(err, verdict.ReasonPeerUnreachable)
		return result
	}
	body, err := encMode.Marshal(reply)
	if err != nil || len(body) > MaxMessageBytes-responseOverhead {
		result.Err = verdict.New(verdict.MayHaveRun, verdict.ReasonTruncated, "reply of %d bytes not sent: %v", len(body), err)
		return result
	}
	result.Body = body
	return result
}

// responseOverhead is the space reserved for a response besides its body, in bytes.
const responseOverhead = 64

// send writes a response. If the connection has closed, the response is dropped: the caller
// has already received the error that its call may have run.
func (s *Server) send(ws *websocket.Conn, r response) {
	message, err := encMode.Marshal(r)
	if err != nil {
		s.log.Error().Err(err).Msg("cannot encode a response to a peer")
		_ = ws.CloseNow()
		return
	}
	if write(ws, message) != nil {
		_ = ws.CloseNow()
	}
}

// Drain refuses new calls, waits until those being executed have finished or ctx ends, and
// closes all connections. The WebSocket closing handshake lets the peers read the last
// responses first.
func (s *Server) Drain(ctx context.Context) error {
	conns := s.startDraining()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		closeAll(conns)
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	for _, ws := range conns {
		_ = ws.CloseNow()
	}
	return ctx.Err()
}

// startDraining makes the server refuse new calls and connections, and returns the open
// connections.
func (s *Server) startDraining() []*websocket.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	conns := make([]*websocket.Conn, 0, len(s.conns))
	for ws := range s.conns {
		conns = append(conns, ws)
	}
	return conns
}

// closeAll performs the closing handshake with all peers at once.
func closeAll(conns []*websocket.Conn) {
	var closing sync.WaitGroup
	for _, ws := range conns {
		closing.Go(func() { _ = ws.Close(websocket.StatusGoingAway, "instance is stopping") })
	}
	closing.Wait()
}

// track registers a connection unless the server is draining.
func (s *Server) track(ws *websocket.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.conns[ws] = true
	return true
}

func (s *Server) untrack(ws *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, ws)
}
