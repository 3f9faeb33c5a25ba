package route

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestSealedConnectionWritesNothing(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := &trackedConn{Conn: near}
	count := c.writeCount()
	is.True(c.seal(count)) // nothing was written
	n, err := c.Write([]byte("late"))
	is.Equal(n, 0)
	is.Equal(err, errSealed)
}

func TestConnectionWithWriteIsNotSealed(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	c := &trackedConn{Conn: near}
	count := c.writeCount()
	is.NoErr(far.Close())
	_, err := c.Write([]byte("lost")) // a failed write may have reached the other end
	is.True(err != nil)
	is.True(!c.seal(count))
}
