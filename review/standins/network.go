package main

import (
	"net"
	"sync"
)

// Link is the network in front of a runner: a proxy that can be cut for a while, or whose server can lose power.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	healed  chan struct{} // not nil while the link is cut; closed when the cut heals
	dark    bool
	boot    int // connections of an earlier boot are dead
	clients map[net.Conn]bool
}

func newLink(address, target string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, target: target, clients: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

// Address returns the address of the runner as others know it.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Cut holds all data back, in both directions and on new connections too, until Heal.
func (k *Link) Cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

// Heal ends a cut. Data that was held back is delivered unless its sender has closed the connection.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
	k.healed = nil
}

// PowerOff makes the machine silent. Its connections are never heard of again.
func (k *Link) PowerOff() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dark = true
	k.boot++
}

// PowerOn lets new connections reach the machine. What is sent on a connection of an earlier boot is answered
// by a reset, as by an operating system that doesn't know the connection.
func (k *Link) PowerOn() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dark = false
	k.boot++
}

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *Link) currentBoot() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.boot
}

// pass waits while the link is cut. It returns whether data of a connection of the given boot may be forwarded.
func (k *Link) pass(boot int) bool {
	for {
		k.mu.Lock()
		healed, alive := k.healed, k.boot == boot && !k.dark
		k.mu.Unlock()
		if healed == nil {
			return alive
		}
		<-healed
	}
}

func (k *Link) serve(c net.Conn) {
	boot := k.currentBoot()
	if !k.pass(boot) {
		k.deadEnd(c, boot)
		return
	}
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		reset(c)
		return
	}
	go k.copy(c, server, boot, false)
	k.copy(server, c, boot, true)
}

// copy forwards the data of one direction.
func (k *Link) copy(to, from net.Conn, boot int, fromClient bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && k.pass(boot) {
			if _, werr := to.Write(buffer[:n]); werr == nil && err == nil {
				continue
			}
		} else if n > 0 {
			if fromClient {
				_ = to.Close()
				k.answerDead(from, boot)
			}
			return // the connection stays open and silent
		}
		if k.currentBoot() == boot || fromClient {
			_ = to.Close()
			_ = from.Close()
		}
		return
	}
}

// deadEnd keeps a connection that no server knows: silent until the machine is back, then reset on data.
func (k *Link) deadEnd(c net.Conn, boot int) {
	buffer := make([]byte, 64<<10)
	if _, err := c.Read(buffer); err != nil {
		_ = c.Close()
		return
	}
	k.answerDead(c, boot)
}

// answerDead is called when data has come on a connection of an earlier boot.
func (k *Link) answerDead(c net.Conn, boot int) {
	k.mu.Lock()
	dark := k.dark
	k.mu.Unlock()
	if !dark {
		reset(c)
		return
	}
	k.deadEnd(c, boot)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
