package cluster

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to an address. Cutting it simulates a failure of the network between
// the instances.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewProxy returns a proxy that listens on a loopback address and forwards to the target address.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Addr returns the address to connect to.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetCut(true)
}

// SetCut cuts the proxy, which then closes its open connections and every new one, or restores it.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

// serve accepts connections until the proxy is closed.
func (p *Proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.forward(conn)
		}
	}
}

// forward copies both directions of one connection until one side closes it.
func (p *Proxy) forward(conn net.Conn) {
	defer conn.Close()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	if !p.add(conn, out) {
		return
	}
	defer p.remove(conn, out)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{conn, out}, {out, conn}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// add registers open connections, unless the proxy is cut, and reports whether it did.
func (p *Proxy) add(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	for _, c := range conns {
		p.conns[c] = true
	}
	return true
}

// remove unregisters closed connections.
func (p *Proxy) remove(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}
