package connlimit

import (
	"net"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// pipe is a dial function.
func pipe() (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

func TestConnectionsAreEstablishedUpToTheLimit(t *testing.T) {
	is := is.New(t)
	l := New(2)
	a, err := l.Dial(pipe)
	is.NoErr(err)
	_, err = l.Dial(pipe)
	is.NoErr(err)
	_, err = l.Dial(pipe)
	is.True(errors.Is(err, ErrLimit))
	is.Equal(l.Open(), 2)
	is.NoErr(a.Close())
	_ = a.Close() // a second Close frees nothing
	is.Equal(l.Open(), 1)
	_, err = l.Dial(pipe)
	is.NoErr(err)
}

// Guards against descriptors that are counted although the connection failed.
func TestAConnectionThatFailsIsNotCounted(t *testing.T) {
	is := is.New(t)
	l := New(1)
	failure := errors.New("refused")
	_, err := l.Dial(func() (net.Conn, error) { return nil, failure })
	is.True(errors.Is(err, failure))
	is.Equal(l.Open(), 0)
}

func TestWithoutALimitConnectionsAreOnlyCounted(t *testing.T) {
	is := is.New(t)
	l := New(0)
	for range 100 {
		_, err := l.Dial(pipe)
		is.NoErr(err)
	}
	is.Equal(l.Open(), 100)
}

// Guards against callers who are turned away since the process has many connections of its own, and against a process that
// establishes further ones although callers hold its descriptors.
func TestAcceptedConnectionsCountAndAreNeverRefused(t *testing.T) {
	is := is.New(t)
	l := New(1)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := l.Listener(inner)
	defer func() { _ = listener.Close() }()
	var accepted []net.Conn
	for range 3 {
		caller, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer func() { _ = caller.Close() }()
		c, err := listener.Accept()
		is.NoErr(err)
		accepted = append(accepted, c)
	}
	is.Equal(l.Open(), 3)
	_, err = l.Dial(pipe)
	is.True(errors.Is(err, ErrLimit))
	for _, c := range accepted {
		is.NoErr(c.Close())
	}
	is.Equal(l.Open(), 0)
}

// Guards against a process that cannot establish connections any more since others hold idle ones.
func TestIdleConnectionsMakePlaceForEstablishedOnes(t *testing.T) {
	is := is.New(t)
	l := New(2)
	idle, err := l.Dial(pipe)
	is.NoErr(err)
	_, err = l.Dial(pipe)
	is.NoErr(err)
	reclaimed := 0
	l.SetReclaim(func() bool {
		reclaimed++
		_ = idle.Close()
		return reclaimed == 1
	})
	_, err = l.Dial(pipe)
	is.NoErr(err)
	is.Equal(reclaimed, 1)
	_, err = l.Dial(pipe)
	is.True(errors.Is(err, ErrLimit))
	is.Equal(l.Open(), 2)
}
