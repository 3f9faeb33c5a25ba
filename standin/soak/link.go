package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats bytes.
type Mode int

// The modes of a proxy.
const (
	Pass    Mode = iota
	Silent       // bytes of both directions are held, new connections hang
	OneWay       // answers are held
	Refused      // connections are reset
	Slow         // bytes are delayed
)

// String returns the name that reports use.
func (m Mode) String() string {
	return [...]string{"pass", "silent", "one way", "refused", "slow"}[m]
}

// slowDelay is the delay of each piece of bytes on a slow proxy.
const slowDelay = 120 * time.Millisecond

// Proxy forwards connections on the loopback interface to one server. While it is silent it holds
// what it has read, and passes it on later.
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
	link := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go link.accept()
	return link, nil
}

// Address is where the proxy listens.
func (l *Proxy) Address() string { return l.listener.Addr().String() }

// SetMode changes the mode.
func (l *Proxy) SetMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	if m == Refused {
		for c := range l.conns {
			reset(c)
		}
	}
}

// Close ends the proxy with its connections.
func (l *Proxy) Close() {
	_ = l.listener.Close()
	l.SetMode(Refused)
}

// reset closes a connection without the usual goodbye.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *Proxy) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *Proxy) serve(c net.Conn) {
	if l.current() == Refused {
		reset(c)
		return
	}
	t, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(c)
		return
	}
	l.track(c, t)
	var both sync.WaitGroup
	both.Go(func() { l.copy(t, c, false) })
	both.Go(func() { l.copy(c, t, true) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, t)
	l.mu.Unlock()
}

func (l *Proxy) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = true
	}
}

func (l *Proxy) current() Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// pass waits until bytes may go on; it reports whether the proxy still carries any.
func (l *Proxy) pass(answer bool) bool {
	for {
		l.mu.Lock()
		mode, changed := l.mode, l.changed
		l.mu.Unlock()
		switch {
		case mode == Refused:
			return false
		case mode == Silent || mode == OneWay && answer:
			<-changed
		case mode == Slow:
			time.Sleep(slowDelay)
			return true
		default:
			return true
		}
	}
}

// copy carries one direction.
func (l *Proxy) copy(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && (!l.pass(answers) || !writeAll(to, buffer[:n])) {
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
