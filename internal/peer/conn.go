package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// callState says how far a call has come on its way to the connection.
type callState = int32

const (
	// callQueued has not reached the connection; the caller may take it back.
	callQueued callState = iota
	// callWritten is being written or was written; the peer may execute it.
	callWritten
	// callWithdrawn was taken back by its caller and is never written.
	callWithdrawn
)

// call is one call on its way.
type call struct {
	id      uint64
	message []byte
	state   atomic.Int32
	done    chan response // capacity 1
}

// conn is the calling side of one connection. One goroutine writes, one reads and one
// sends pings; the first failure of any ends the connection.
type conn struct {
	ws     *websocket.Conn
	queue  chan *call
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	pending map[uint64]*call
	nextID  uint64
}

// dial opens a connection and exchanges hellos. Nothing but the hello has been written
// when it fails.
func dial(ctx context.Context, client *http.Client, addr string, self model.InstanceID) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+"/peer", &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(MaxMessageBytes)
	if err := exchangeHello(ctx, ws, self); err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	c := &conn{
		ws:      ws,
		queue:   make(chan *call, MaxInFlight),
		closed:  make(chan struct{}),
		pending: map[uint64]*call{},
	}
	go c.writeLoop()
	go c.readLoop()
	go c.pingLoop()
	return c, nil
}

// exchangeHello sends the own hello and waits for that of the server.
func exchangeHello(ctx context.Context, ws *websocket.Conn, self model.InstanceID) error {
	message, err := encoding.Marshal(hello{Version: Version, Sender: self})
	if err != nil {
		return err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, message); err != nil {
		return err
	}
	_, answer, err := ws.Read(ctx)
	if err != nil {
		return err
	}
	var h hello
	return decoding.Unmarshal(answer, &h)
}

// do sends one call and waits for its answer.
func (c *conn) do(ctx context.Context, kind Kind, body []byte) (response, error) {
	cl, err := c.enqueue(ctx, kind, body)
	if err != nil {
		return response{}, err
	}
	defer c.forget(cl)
	select {
	case r := <-cl.done:
		return r, nil
	case <-ctx.Done():
		return response{}, cl.fail(ctx.Err())
	case <-c.closed:
		return c.afterClose(cl)
	}
}

// afterClose takes an answer that arrived before the connection closed, or fails the call.
func (c *conn) afterClose(cl *call) (response, error) {
	select {
	case r := <-cl.done:
		return r, nil
	default:
		return response{}, cl.fail(errClosed)
	}
}

// fail returns the error of a call without an answer. Taking the call back succeeds only
// before the writer has touched it, which proves that the peer never executes it.
func (cl *call) fail(cause error) error {
	if cl.state.CompareAndSwap(callQueued, callWithdrawn) {
		return verdict.New(verdict.NotRun, verdict.ReasonPeerUnreachable, "call not sent: %v", cause)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonPeerUnreachable, "call sent, no answer: %v", cause)
}

// enqueue registers a call and hands it to the writer.
func (c *conn) enqueue(ctx context.Context, kind Kind, body []byte) (*call, error) {
	cl := &call{done: make(chan response, 1)}
	if !c.register(cl) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "%d calls wait for this peer", MaxInFlight)
	}
	deadline, _ := ctx.Deadline()
	message, err := encoding.Marshal(request{ID: cl.id, Kind: kind, Timeout: time.Until(deadline), Body: body})
	if err != nil {
		c.forget(cl)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%v", err)
	}
	if len(message) > MaxMessageBytes {
		c.forget(cl)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "message of %d bytes, at most %d", len(message), MaxMessageBytes)
	}
	cl.message = message
	select {
	case c.queue <- cl:
		return cl, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-c.closed:
		err = errClosed
	}
	c.forget(cl)
	return nil, verdict.New(verdict.NotRun, verdict.ReasonPeerUnreachable, "call not sent: %v", err)
}

// register gives the call an id unless too many calls are waiting.
func (c *conn) register(cl *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= MaxInFlight {
		return false
	}
	c.nextID++
	cl.id = c.nextID
	c.pending[cl.id] = cl
	return true
}

// forget removes a call; a later answer to it is dropped.
func (c *conn) forget(cl *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, cl.id)
}

// writeLoop writes the queued calls that their callers have not taken back.
func (c *conn) writeLoop() {
	defer c.close()
	for {
		select {
		case <-c.closed:
			return
		case cl := <-c.queue:
			if !cl.state.CompareAndSwap(callQueued, callWritten) {
				continue
			}
			if err := write(c.ws, cl.message); err != nil {
				return
			}
		}
	}
}

// readLoop hands each answer to its call.
func (c *conn) readLoop() {
	defer c.close()
	for {
		_, message, err := c.ws.Read(context.Background())
		if err != nil {
			return
		}
		var r response
		if err := decoding.Unmarshal(message, &r); err != nil {
			return
		}
		c.mu.Lock()
		cl := c.pending[r.ID]
		delete(c.pending, r.ID)
		c.mu.Unlock()
		if cl != nil {
			cl.done <- r
		}
	}
}

// pingLoop closes the connection when the peer does not answer a ping.
func (c *conn) pingLoop() {
	defer c.close()
	keepAlive(c.ws, c.closed)
}

// close ends the connection and wakes all waiting calls.
func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.ws.CloseNow()
	})
}

// isClosed reports whether the connection has ended.
func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// write sends one message with a timeout.
func write(ws *websocket.Conn, message []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return ws.Write(ctx, websocket.MessageBinary, message)
}

// keepAlive sends pings until one is not answered or closed ends.
func keepAlive(ws *websocket.Conn, closed <-chan struct{}) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-closed:
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		err := ws.Ping(ctx)
		cancel()
		if err != nil {
			return
		}
	}
}
