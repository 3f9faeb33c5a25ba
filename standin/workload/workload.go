// Package workload defines the jobs and requests of the two example deployments: what callers send,
// what targets compute from it, and how callers check that an answer is complete and belongs to
// their request.
package workload

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// RequestKind is one kind of request of a service.
type RequestKind struct {
	Service model.Service      `json:"service"`
	Path    string             `json:"path"`
	Class   model.RequestClass `json:"class"`
	// Time is the mean execution time on an idle worker.
	Time time.Duration `json:"time"`
}

// RequestKinds returns the requests of a deployment.
func RequestKinds(deployment string) []RequestKind {
	if deployment == Pallikkara {
		return []RequestKind{
			{Service: "filterkeep", Path: "visits/list", Class: model.Idempotent, Time: 6 * time.Millisecond},
			{Service: "filterkeep", Path: "reports/run", Class: model.Exclusive, Time: 30 * time.Millisecond},
			{Service: "filterkeep", Path: "visits/book", Class: model.AtMostOnce, Time: 10 * time.Millisecond},
		}
	}
	return []RequestKind{
		{Service: "levy-desk", Path: "calculate", Class: model.Idempotent, Time: 8 * time.Millisecond},
		{Service: "levy-desk", Path: "prepare", Class: model.Exclusive, Time: 25 * time.Millisecond},
		{Service: "levy-desk", Path: "file", Class: model.AtMostOnce, Time: 10 * time.Millisecond},
	}
}

// The example deployments.
const (
	Nilewave   = "nilewave"
	Pallikkara = "pallikkara"
)

// Product is one drink of a factory in a period.
type Product struct {
	Name string `json:"name"`
	// SugarPerLitre is in grams.
	SugarPerLitre int64 `json:"sugarPerLitre"`
	// BottleMillilitres is the size of a bottle.
	BottleMillilitres int64 `json:"bottleMillilitres"`
	Bottles           int64 `json:"bottles"`
}

// Visit is one visit of a technician.
type Visit struct {
	Clinic  string    `json:"clinic"`
	At      time.Time `json:"at"`
	Filters []string  `json:"filters"`
}

// Request is the body of a request. Reference is chosen by the caller and unique.
type Request struct {
	Reference string    `json:"reference"`
	Customer  string    `json:"customer"`
	Period    string    `json:"period"`
	Products  []Product `json:"products,omitempty"`
	Visits    []Visit   `json:"visits,omitempty"`
}

// Line is the result for one product or visit.
type Line struct {
	Name string `json:"name"`
	// Piastres is the levy of one bottle or the price of one visit.
	Piastres int64 `json:"piastres"`
	Count    int64 `json:"count"`
}

// Answer is the body of an answer.
type Answer struct {
	Reference string `json:"reference"`
	Lines     []Line `json:"lines"`
	// TotalPiastres is the sum over all lines.
	TotalPiastres int64 `json:"totalPiastres"`
	// End is the last field, so that a truncated answer lacks it.
	End string `json:"end"`
}

// endMark is the value of Answer.End.
const endMark = "end of answer"

// Compute returns the answer to a request.
func Compute(r Request) Answer {
	out := Answer{Reference: r.Reference, End: endMark}
	for _, p := range r.Products {
		out.Lines = append(out.Lines, Line{Name: p.Name, Piastres: levyPerBottle(p), Count: p.Bottles})
	}
	for _, v := range r.Visits {
		out.Lines = append(out.Lines, Line{Name: v.Clinic, Piastres: 150 * int64(len(v.Filters)), Count: 1})
	}
	for _, l := range out.Lines {
		out.TotalPiastres += l.Piastres * l.Count
	}
	return out
}

// levyPerBottle returns the levy of one bottle in piastres. The rate per litre depends on the sugar
// content of the drink.
func levyPerBottle(p Product) int64 {
	var perLitre int64
	switch {
	case p.SugarPerLitre >= 80:
		perLitre = 120
	case p.SugarPerLitre >= 50:
		perLitre = 90
	}
	return perLitre * p.BottleMillilitres / 1000
}

// Check returns an error if body is not the complete and correct answer to the request.
func Check(r Request, body []byte) error {
	var got Answer
	if err := json.Unmarshal(body, &got); err != nil {
		return fmt.Errorf("answer is not valid JSON: %w", err)
	}
	if got.Reference != r.Reference {
		return fmt.Errorf("the answer to %q came to %q", got.Reference, r.Reference)
	}
	if got.End != endMark {
		return errors.New("the answer is truncated: its end mark is missing")
	}
	if want := len(r.Products) + len(r.Visits); len(got.Lines) != want {
		return fmt.Errorf("the answer has %d of %d lines", len(got.Lines), want)
	}
	if want := Compute(r); got.TotalPiastres != want.TotalPiastres {
		return fmt.Errorf("the total is %d, not %d", got.TotalPiastres, want.TotalPiastres)
	}
	return nil
}
