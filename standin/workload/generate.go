package workload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Generator makes random requests of a deployment from a seed. It is not safe for concurrent use.
type Generator struct {
	deployment string
	run        string
	random     *rand.Rand
	next       int
}

// NewGenerator returns a generator whose references begin with the name of the run.
func NewGenerator(deployment, run string, seed uint64) *Generator {
	return &Generator{deployment: deployment, run: run, random: rand.New(rand.NewPCG(seed, 1))}
}

// PickKind returns a random kind of request. Most are idempotent, as callers read more often than
// they write.
func (g *Generator) PickKind() RequestKind {
	kinds := RequestKinds(g.deployment)
	switch n := g.random.IntN(10); {
	case n < 6:
		return kinds[0]
	case n < 8:
		return kinds[1]
	default:
		return kinds[2]
	}
}

// Request returns a new request.
func (g *Generator) Request() Request {
	g.next++
	r := Request{
		Reference: fmt.Sprintf("%s-%06d", g.run, g.next),
		Period:    "2026-11",
	}
	if g.deployment == Pallikkara {
		r.Customer = fmt.Sprintf("shop-%02d", g.random.IntN(20))
		for i := range 1 + g.random.IntN(4) {
			r.Visits = append(r.Visits, g.visit(i))
		}
		return r
	}
	r.Customer = fmt.Sprintf("factory-%02d", g.random.IntN(20))
	for i := range 1 + g.random.IntN(12) {
		r.Products = append(r.Products, g.product(i))
	}
	return r
}

// product returns a drink.
func (g *Generator) product(i int) Product {
	names := []string{"karkade", "mango nectar", "cola", "tamarind", "lemon mint"}
	sizes := []int64{250, 330, 500, 1000, 2000}
	return Product{
		Name:              fmt.Sprintf("%s %d", names[g.random.IntN(len(names))], i+1),
		SugarPerLitre:     int64(20 + g.random.IntN(100)),
		BottleMillilitres: sizes[g.random.IntN(len(sizes))],
		Bottles:           int64(1000 + g.random.IntN(200_000)),
	}
}

// visit returns a visit to a clinic.
func (g *Generator) visit(i int) Visit {
	filters := []string{"G4 pre-filter", "F7 bag", "H13 panel"}
	return Visit{
		Clinic:  fmt.Sprintf("clinic-%03d", g.random.IntN(300)),
		At:      time.Date(2026, 12, 7+i, 9+g.random.IntN(8), 0, 0, 0, time.UTC),
		Filters: filters[:1+g.random.IntN(len(filters))],
	}
}

// Class returns the class of a path of the deployment. An unknown path has the strictest class, at
// most once.
func Class(deployment, path string) model.RequestClass {
	for _, k := range RequestKinds(deployment) {
		if k.Path == path {
			return k.Class
		}
	}
	return model.AtMostOnce
}
