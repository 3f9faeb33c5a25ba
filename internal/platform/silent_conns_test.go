package platform

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/silencetest"
)

// Guards against calls that wait in vain on one silent connection after the other, although new ones work.
func TestUnusedConnectionsAreNotTrustedAfterASilentOne(t *testing.T) {
	const conns = 6
	is := is.New(t)
	server := silencetest.NewServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"header":{"revision":"4"}}`)
	}))
	s, err := NewStore([]string{server.URL}, StoreOptions{CallTimeout: 2 * time.Second})
	is.NoErr(err)
	get := func() error {
		_, _, err := s.Get(t.Context(), "k")
		return err
	}
	server.OpenConns(conns, func() { is.NoErr(get()) })
	server.SilenceOpen()
	is.True(get() != nil)
	is.NoErr(get())
}
