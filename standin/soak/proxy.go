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
	conns   map[net.Conn]*link
}

// link is a pair of connections, to a client and to the server, between which data is forwarded.
type link struct {
	// silenced is closed when nothing is forwarded any more, though both connections stay open.
	silenced chan struct{}
}

// isSilenced reports whether nothing is forwarded any more.
func (l *link) isSilenced() bool {
	select {
	case <-l.silenced:
		return true
	default:
		return false
	}
}

// NewProxy listens on the address and connects to the target.
func NewProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]*link{}}
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

// SilenceOpen makes all open connections silent for good, without a reset. New ones work.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.conns {
		if !l.isSilenced() {
			close(l.silenced)
		}
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
	l := p.track(c, server)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(l, server, c, false) })
	directions.Go(func() { p.forward(l, c, server, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, server)
	p.mu.Unlock()
}

// track notes the connections of a new link.
func (p *Proxy) track(client, server net.Conn) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &link{silenced: make(chan struct{})}
	p.conns[client], p.conns[server] = l, l
	return l
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

// forward copies the data of one direction, and closes both connections when it ends. The client of a silenced link does
// not hear that the server has closed its connection.
func (p *Proxy) forward(l *link, to, from net.Conn, fromServer bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.isSilenced() && (!p.waitToForward(fromServer) || !writeAll(to, buffer[:n])) {
			break
		}
		if err != nil {
			break
		}
	}
	if fromServer && l.isSilenced() {
		return // the other direction ends when the client closes its connection
	}
	_ = to.Close()
	_ = from.Close()
}

func writeAll(w io.Writer, b []byte) bool {
	_, err := w.Write(b)
	return err == nil
}
