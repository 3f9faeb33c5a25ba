package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats connections and their data.
type Mode int

// The modes of a proxy.
const (
	Pass    Mode = iota
	Silent       // data of both directions is held back, also on new connections
	OneWay       // data from the server is held back
	Refused      // open and new connections are reset
	Slow         // data is delayed
)

// String returns the name that reports use.
func (m Mode) String() string {
	return [...]string{"pass", "silent", "one way", "refused", "slow"}[m]
}

// slowDelay is the delay of each chunk of data in mode Slow.
const slowDelay = 120 * time.Millisecond

// Proxy forwards connections on the loopback interface to one server. Data that is held back in
// modes Silent and OneWay is delivered once the mode lets it pass, unless the connection is reset.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

// NewProxy listens on the address and connects to the target.
func NewProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode. Refused resets all open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Refused {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(Refused)
}

// reset closes a connection with a TCP reset, so that the peer sees an error and not an end of file.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	if p.currentMode() == Refused {
		reset(c)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.track(c, server)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(server, c, false) })
	directions.Go(func() { p.forward(c, server, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// waitToForward waits until a chunk of data may be forwarded in the current mode. It returns false
// if connections are refused, so that the data must be dropped.
func (p *Proxy) waitToForward(fromServer bool) bool {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == Refused:
			return false
		case mode == Silent || mode == OneWay && fromServer:
			<-changed
		case mode == Slow:
			time.Sleep(slowDelay)
			return true
		default:
			return true
		}
	}
}

// forward copies the data of one direction, and closes both connections when it ends.
func (p *Proxy) forward(to, from net.Conn, fromServer bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && (!p.waitToForward(fromServer) || !writeAll(to, buffer[:n])) {
			return
		}
		if err != nil {
			return
		}
	}
}

func writeAll(w io.Writer, b []byte) bool {
	_, err := w.Write(b)
	return err == nil
}
