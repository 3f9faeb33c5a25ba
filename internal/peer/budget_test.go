package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/bodybudget"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/refusals"
)

// Guards against messages of peers that no budget bounds, against bytes that stay charged after a call, and against a
// call of the largest size that is refused in calm.
func TestMessagesAreChargedToTheBudget(t *testing.T) {
	is := is.New(t)
	const limit = 6 << 20
	budget := bodybudget.New(limit, tally.NoopScope)
	scope := tally.NewTestScope("", nil)
	s := NewServer("server", zerolog.Nop())
	s.SetBudget(budget, refusals.New("peer-messages", scope, zerolog.Nop()))
	var held int64
	s.Handle(kindEcho, func(context.Context, model.InstanceID, []byte) (any, error) {
		held = budget.Held()
		return echo{}, nil
	})
	mux := http.NewServeMux()
	mux.Handle("/peer", s)
	h := httptest.NewServer(mux)
	defer h.Close()
	addr := strings.TrimPrefix(h.URL, "http://")
	p := newPool(t)
	large := echo{Text: strings.Repeat("x", MaxMessageBytes-1000)}
	is.NoErr(p.Call(t.Context(), addr, kindEcho, large, nil))
	is.True(held >= MaxMessageBytes-1000)
	is.NoErr(p.Call(t.Context(), addr, kindEcho, echo{}, nil))
	is.True(held < MaxMessageBytes) // the large message is not charged any more
	other := budget.Open(nil)
	is.NoErr(other.Set(limit * 3 / 4))
	is.NoErr(p.Call(t.Context(), addr, kindEcho, echo{}, nil)) // a small one has room
	is.True(p.Call(t.Context(), addr, kindEcho, large, nil) != nil)
	refused := scope.Snapshot().Counters()["listener_refused+listener=peer-messages,reason=bytes-held"]
	is.True(refused != nil)
}
