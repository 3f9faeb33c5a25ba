package cluster

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Link forwards connections to an address until it is cut. It stands for the network
// between the instances.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewLink returns a link to the target that listens on a loopback address of its own.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go l.serve()
	return l, nil
}

// Addr returns the address to connect to.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.SetCut(true)
}

// SetCut cuts the link, connections in use included, or mends it.
func (l *Link) SetCut(cut bool) {
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

// serve accepts connections until the link is closed.
func (l *Link) serve() {
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
func (l *Link) forward(conn net.Conn) {
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

// add notes connections in use, unless the link is cut.
func (l *Link) add(conns ...net.Conn) bool {
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
func (l *Link) remove(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}
