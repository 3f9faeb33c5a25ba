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

// callState says whether a call has been written to the connection.
type callState = int32

const (
	// callQueued means that the call has not been written; the caller may withdraw it.
	callQueued callState = iota
	// callWritten means that the call is being or has been written; the peer may execute it.
	callWritten
	// callWithdrawn means that the caller withdrew the call; it is never written.
	callWithdrawn
)

// call is one pending call.
type call struct {
	id      uint64
	message []byte
	state   atomic.Int32
	done    chan response // capacity 1
}

// conn is the client side of one connection. One goroutine writes, one reads and one sends
// pings; the first failure of any of them closes the connection.
type conn struct {
	ws        *websocket.Conn
	queue     chan *call
	closed    chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	pending map[uint64]*call
	nextID  uint64
}

// dial opens a connection and performs the handshake. If it fails, no call has been written.
func dial(ctx context.Context, client *http.Client, addr string, self model.InstanceID) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+"/peer", &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(MaxMessageBytes)
	if err := clientHandshake(ctx, ws, self); err != nil {
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

// clientHandshake sends the hello of this instance and waits for that of the server.
func clientHandshake(ctx context.Context, ws *websocket.Conn, self model.InstanceID) error {
	message, err := encMode.Marshal(hello{Version: Version, Sender: self})
	if err != nil {
		return err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, message); err != nil {
		return err
	}
	_, reply, err := ws.Read(ctx)
	if err != nil {
		return err
	}
	var h hello
	return decMode.Unmarshal(reply, &h)
}

// do sends one call and waits for its response.
func (c *conn) do(ctx context.Context, kind Kind, body []byte) (response, error) {
	cl, err := c.enqueue(ctx, kind, body)
	if err != nil {
		return response{}, err
	}
	defer c.unregister(cl)
	select {
	case r := <-cl.done:
		return r, nil
	case <-ctx.Done():
		return response{}, cl.withdraw(ctx.Err())
	case <-c.closed:
		return c.resultAfterClose(cl)
	}
}

// resultAfterClose returns the response if it arrived before the connection closed, or else
// fails the call.
func (c *conn) resultAfterClose(cl *call) (response, error) {
	select {
	case r := <-cl.done:
		return r, nil
	default:
		return response{}, cl.withdraw(errClosed)
	}
}

// withdraw withdraws a call without a response and returns its error. The withdrawal succeeds
// only before writeLoop has taken the call, which proves that the peer never executes it.
func (cl *call) withdraw(cause error) error {
	if cl.state.CompareAndSwap(callQueued, callWithdrawn) {
		return verdict.New(verdict.NotRun, verdict.ReasonPeerUnreachable, "call not sent: %v", cause)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonPeerUnreachable, "call sent, no response: %v", cause)
}

// enqueue registers a call and queues it for writeLoop.
func (c *conn) enqueue(ctx context.Context, kind Kind, body []byte) (*call, error) {
	cl := &call{done: make(chan response, 1)}
	if !c.register(cl) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "%d calls to this peer are already in flight", MaxInFlight)
	}
	deadline, _ := ctx.Deadline()
	message, err := encMode.Marshal(request{ID: cl.id, Kind: kind, Timeout: time.Until(deadline), Body: body})
	if err != nil {
		c.unregister(cl)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%v", err)
	}
	if len(message) > MaxMessageBytes {
		c.unregister(cl)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "message of %d bytes is larger than the limit of %d", len(message), MaxMessageBytes)
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
	c.unregister(cl)
	return nil, verdict.New(verdict.NotRun, verdict.ReasonPeerUnreachable, "call not sent: %v", err)
}

// register assigns an ID to the call and adds it to the pending calls, unless MaxInFlight
// calls are pending.
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

// unregister removes a call from the pending calls; a later response to it is dropped.
func (c *conn) unregister(cl *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, cl.id)
}

// writeLoop writes the queued calls that their callers have not withdrawn.
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

// readLoop passes each response to its call.
func (c *conn) readLoop() {
	defer c.close()
	for {
		_, message, err := c.ws.Read(context.Background())
		if err != nil {
			return
		}
		var r response
		if err := decMode.Unmarshal(message, &r); err != nil {
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

// pingLoop closes the connection when a ping is not answered within pingTimeout.
func (c *conn) pingLoop() {
	defer c.close()
	keepAlive(c.ws, c.closed)
}

// close closes the connection and wakes all pending calls.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.ws.CloseNow()
	})
}

// isClosed reports whether close has been called.
func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// write sends one message within writeTimeout.
func write(ws *websocket.Conn, message []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return ws.Write(ctx, websocket.MessageBinary, message)
}

// keepAlive sends pings until one is not answered in time or closed is closed.
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
