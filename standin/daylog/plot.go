package daylog

import (
	"fmt"
	"io"
	"time"

	svg "github.com/ajstarks/svgo"
)

// Sizes of the plot, in pixels.
const (
	plotHeight  = 320
	plotMargin  = 40
	plotPerSlot = 14
	textSize    = 11
)

// plotSlot is the time that one bar stands for.
const plotSlot = time.Second

// bar counts the jobs at one moment.
type bar struct {
	waiting, running int
}

// bars returns the counts at the end of each plotSlot since the first line.
func (d *Day) bars() []bar {
	out := make([]bar, int(d.last.Sub(d.first)/plotSlot)+1)
	for i := range out {
		at := d.first.Add(time.Duration(i+1) * plotSlot)
		for _, j := range d.jobs {
			if j.submitted.IsZero() || j.submitted.After(at) || !j.ended.IsZero() && !j.ended.After(at) {
				continue
			}
			if j.firstStart.IsZero() || j.firstStart.After(at) {
				out[i].waiting++
			} else {
				out[i].running++
			}
		}
	}
	return out
}

// WritePlot writes an SVG with the jobs that wait for their first start and those that run, for each second,
// and a line at each change of the owner.
func (d *Day) WritePlot(w io.Writer) {
	bars := d.bars()
	highest := 1
	for _, b := range bars {
		highest = max(highest, b.waiting+b.running)
	}
	width := 2*plotMargin + plotPerSlot*len(bars)
	c := svg.New(w)
	c.Start(width, plotHeight+2*plotMargin)
	c.Rect(0, 0, width, plotHeight+2*plotMargin, "fill:white")
	height := func(n int) int { return n * plotHeight / highest }
	for i, b := range bars {
		x, base := plotMargin+i*plotPerSlot, plotMargin+plotHeight
		c.Rect(x, base-height(b.running), plotPerSlot-2, height(b.running), "fill:steelblue")
		c.Rect(x, base-height(b.running)-height(b.waiting), plotPerSlot-2, height(b.waiting), "fill:darkorange")
		if i%5 == 0 {
			c.Text(x, base+textSize+4, fmt.Sprint(i), textStyle)
		}
	}
	for _, at := range d.ownerChange {
		x := plotMargin + int(at.Sub(d.first)*plotPerSlot/plotSlot)
		c.Line(x, plotMargin, x, plotMargin+plotHeight, "stroke:firebrick;stroke-dasharray:4")
	}
	c.Text(plotMargin, plotMargin-textSize, fmt.Sprintf("jobs by second (at most %d): running blue, waiting for the first start orange; dashed: owner changed", highest), textStyle)
	c.End()
}

var textStyle = fmt.Sprintf("font-family:sans-serif;font-size:%dpx", textSize)
