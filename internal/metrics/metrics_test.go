package metrics

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against scrapes that exhaust the memory since their clients do not read them.
func TestScrapesAtATimeAreLimited(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	h := Limit(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-leave
	}), 2)
	scrape := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return w.Code
	}
	statuses := make(chan int, 3)
	for range 2 {
		go func() { statuses <- scrape() }()
		<-entered
	}
	is.Equal(scrape(), http.StatusServiceUnavailable)
	leave <- struct{}{}
	is.Equal(<-statuses, http.StatusOK)
	go func() { statuses <- scrape() }()
	<-entered
	close(leave)
	is.Equal(<-statuses, http.StatusOK)
	is.Equal(<-statuses, http.StatusOK)
}
