package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Server serves the calls of peers. It is the http.Handler of the path /peer.
type Server struct {
	self model.InstanceID
	log  zerolog.Logger

	mu       sync.Mutex
	handlers map[Kind]*endpoint
	conns    map[*websocket.Conn]bool
	draining bool
	running  sync.WaitGroup
}

// endpoint is a handler with its bound on concurrent calls.
type endpoint struct {
	handle Handler
	slots  chan struct{}
}

// NewServer returns a server without handlers.
func NewServer(self model.InstanceID, log zerolog.Logger) *Server {
	return &Server{
		self:     self,
		log:      log,
		handlers: map[Kind]*endpoint{},
		conns:    map[*websocket.Conn]bool{},
	}
}

// Handle sets the handler of a kind.
func (s *Server) Handle(k Kind, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[k] = &endpoint{handle: h, slots: make(chan struct{}, MaxCallsPerKind)}
}

// ServeHTTP serves one connection until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(MaxMessageBytes)
	if !s.track(ws) {
		_ = ws.Close(websocket.StatusGoingAway, "shutting down")
		return
	}
	defer s.untrack(ws)
	from, err := s.greet(ws)
	if err != nil {
		s.log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("peer refused")
		return
	}
	s.serve(ws, from)
}

// greet reads the hello of the peer and answers it.
func (s *Server) greet(ws *websocket.Conn) (model.InstanceID, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	_, message, err := ws.Read(ctx)
	if err != nil {
		return "", err
	}
	var h hello
	if err := decoding.Unmarshal(message, &h); err != nil {
		return "", err
	}
	if h.Version != Version || h.Sender == "" {
		_ = ws.Close(websocket.StatusPolicyViolation, "unknown protocol version")
		return "", verdict.New(verdict.NotRun, verdict.ReasonInvalid, "hello of %q with version %d", h.Sender, h.Version)
	}
	answer, err := encoding.Marshal(hello{Version: Version, Sender: s.self})
	if err != nil {
		return "", err
	}
	return h.Sender, write(ws, answer)
}

// serve reads calls until the connection ends and executes each in its own goroutine.
func (s *Server) serve(ws *websocket.Conn, from model.InstanceID) {
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		keepAlive(ws, closed)
		_ = ws.CloseNow()
	}()
	for {
		_, message, err := ws.Read(context.Background())
		if err != nil {
			return
		}
		var r request
		if err := decoding.Unmarshal(message, &r); err != nil {
			s.log.Error().Err(err).Str("peer", string(from)).Msg("unreadable message of a peer")
			return
		}
		s.accept(ws, from, r)
	}
}

// accept starts the handler of a call, or refuses the call.
func (s *Server) accept(ws *websocket.Conn, from model.InstanceID, r request) {
	e, refusal := s.admit(r.Kind)
	if refusal != nil {
		s.send(ws, response{ID: r.ID, Err: refusal})
		return
	}
	go func() {
		defer func() {
			<-e.slots
			s.running.Done()
		}()
		s.send(ws, s.execute(e, from, r))
	}()
}

// admit takes a slot of the handler. Without one the call is not executed.
func (s *Server) admit(k Kind) (*endpoint, *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonShutdown, "instance %s is stopping", s.self)
	}
	e := s.handlers[k]
	if e == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "no handler for calls of kind %d", k)
	}
	select {
	case e.slots <- struct{}{}:
		s.running.Add(1)
		return e, nil
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "%d calls of kind %d are being executed", MaxCallsPerKind, k)
	}
}

// execute runs the handler. A panic is answered as MayHaveRun, so that a call that
// triggers it cannot end one instance after the other.
func (s *Server) execute(e *endpoint, from model.InstanceID, r request) (answer response) {
	answer.ID = r.ID
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Error().Interface("panic", cause).Uint8("kind", uint8(r.Kind)).Msg("handler of a peer call failed")
			answer = response{ID: r.ID, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonPeerUnreachable, "handler failed")}
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), min(r.Timeout, time.Hour))
	defer cancel()
	reply, err := e.handle(ctx, from, r.Body)
	if err != nil {
		answer.Err = verdict.From(err, verdict.ReasonPeerUnreachable)
		return answer
	}
	body, err := encoding.Marshal(reply)
	if err != nil || len(body) > MaxMessageBytes-responseOverhead {
		answer.Err = verdict.New(verdict.MayHaveRun, verdict.ReasonTruncated, "answer of %d bytes not sent: %v", len(body), err)
		return answer
	}
	answer.Body = body
	return answer
}

// responseOverhead is the room that a response needs besides its body, in bytes.
const responseOverhead = 64

// send writes an answer. An answer to a connection that has ended is dropped, because the
// caller has already been told that its call may have run.
func (s *Server) send(ws *websocket.Conn, r response) {
	message, err := encoding.Marshal(r)
	if err != nil {
		s.log.Error().Err(err).Msg("answer to a peer not encoded")
		_ = ws.CloseNow()
		return
	}
	if write(ws, message) != nil {
		_ = ws.CloseNow()
	}
}

// Drain refuses new calls, waits for those being executed or the end of ctx, and closes
// all connections. The closing handshake lets the peers read the last answers first.
func (s *Server) Drain(ctx context.Context) error {
	conns := s.refuseNew()
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

// refuseNew makes the server refuse calls and connections, and returns its connections.
func (s *Server) refuseNew() []*websocket.Conn {
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

// track registers a connection unless the server is stopping.
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
