package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a link treats bytes.
type Mode int

// The modes of a link.
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

// slowDelay is the delay of each piece of bytes on a slow link.
const slowDelay = 120 * time.Millisecond

// Link is a proxy on the loopback interface before one server. While it is silent it holds
// what it has read, and passes it on later.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

// NewLink listens on the address and connects to the target.
func NewLink(address, target string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	link := &Link{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go link.accept()
	return link, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the mode.
func (l *Link) Set(m Mode) {
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

// Close ends the link with its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Set(Refused)
}

// reset closes a connection without the usual goodbye.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *Link) serve(c net.Conn) {
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

func (l *Link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = true
	}
}

func (l *Link) current() Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// pass waits until bytes may go on; it reports whether the link still carries any.
func (l *Link) pass(answer bool) bool {
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
func (l *Link) copy(to, from net.Conn, answers bool) {
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
