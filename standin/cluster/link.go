package cluster

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to an address until it is cut. It stands for the network
// between the instances.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewProxy returns a proxy to the target that listens on a loopback address of its own.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go l.serve()
	return l, nil
}

// Addr returns the address to connect to.
func (l *Proxy) Addr() string { return l.listener.Addr().String() }

// Close ends the proxy and its connections.
func (l *Proxy) Close() {
	_ = l.listener.Close()
	l.SetCut(true)
}

// SetCut cuts the proxy, connections in use included, or mends it.
func (l *Proxy) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

// serve accepts connections until the proxy is closed.
func (l *Proxy) serve() {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.forward(conn)
		}
	}
}

// forward copies both directions of one connection until either end closes.
func (l *Proxy) forward(conn net.Conn) {
	defer conn.Close()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer out.Close()
	if !l.add(conn, out) {
		return
	}
	defer l.remove(conn, out)
	done := make(chan struct{}, 2)
	for _, ends := range [][2]net.Conn{{conn, out}, {out, conn}} {
		go func() {
			_, _ = io.Copy(ends[0], ends[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// add notes connections in use, unless the proxy is cut.
func (l *Proxy) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	for _, c := range conns {
		l.conns[c] = true
	}
	return true
}

// remove forgets connections.
func (l *Proxy) remove(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}
