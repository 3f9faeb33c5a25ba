package daylog

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A day with a job that waits twice and completes, one that is cancelled before its first start, one that
// fails, and one that is still open at the end. Some lines have a prefix, and some are no events.
const sample = `built in 3 s
  -1.0000 a {"event":"owner.changed","epoch":1,"owner":"a","time":1000}
  -0.9990 b {"event":"owner.changed","epoch":1,"owner":"a","time":1001}
{"event":"job.submitted","job":"j1","queue":"q","result":"done","time":2000}
{"event":"job.submitted","job":"j1","queue":"q","result":"done","existed":true,"time":2500}
{"event":"step.waits","job":"j1","step":0,"why":"no room","time":2010}
{"event":"step.waits","job":"j1","step":0,"why":"reserve","time":3010}
{"event":"task.start","job":"j1","step":0,"run":1,"time":3510}
{"event":"task.pace","job":"j1","step":0,"run":1,"time":3600}
{"event":"task.stop","job":"j1","step":0,"run":1,"why":"can work elsewhere","time":3700}
{"event":"task.ended","job":"j1","step":0,"run":1,"why":"stopped","time":3800}
{"event":"task.start","job":"j1","step":0,"run":2,"time":3900}
{"event":"job.completed","job":"j1","time":5000}
{"event":"job.submitted","job":"j2","queue":"q","result":"done","time":2000}
{"event":"step.waits","job":"j2","step":0,"why":"no room","time":2000}
{"event":"job.cancelled","job":"j2","time":4000}
{"event":"job.submitted","job":"j3","queue":"other","result":"done","time":2000}
{"event":"task.start","job":"j3","step":0,"run":1,"time":2100}
{"event":"task.ended","job":"j3","step":0,"run":1,"why":"failed","time":2200}
{"event":"job.failed","job":"j3","time":2200}
{"event":"job.submitted","job":"j4","queue":"q","result":"done","time":2000}
{"event":"step.waits","job":"j4","step":0,"why":"no room","time":2000}
{"event":"job.submitted","job":"j5","queue":"q","result":"not-run","time":2000}
{"event":"owner.changed","epoch":2,"owner":"b","time":6000}
{"event":
`

func TestSums(t *testing.T) {
	is := is.New(t)
	d := New()
	ignored, err := d.Read(strings.NewReader(sample))
	is.NoErr(err)
	is.Equal(ignored, 2) // the first line and the one that is cut off
	queues := d.Queues()
	is.Equal(len(queues), 2)
	q := queues[0]
	is.Equal(q.Name, "q")
	is.Equal([]int{q.Jobs, q.Completed, q.Failed, q.Cancelled, q.Open, q.NotStarted}, []int{3, 1, 0, 1, 1, 2})
	is.Equal(q.FirstStartHalf, 1510*time.Millisecond)
	is.Equal(q.DurationHalf, 3*time.Second)
	is.Equal([]int{q.Starts, q.Paces, q.FailedRuns}, []int{2, 1, 0})
	is.Equal(q.Waited, map[string]time.Duration{"no room": 7 * time.Second, "reserve": 500 * time.Millisecond})
	is.Equal(q.Stopped, map[string]int{"can work elsewhere": 1})
	other := queues[1]
	is.Equal([]int{other.Jobs, other.Failed, other.FailedRuns}, []int{1, 1, 1})
}

func TestTable(t *testing.T) {
	is := is.New(t)
	d := New()
	_, err := d.Read(strings.NewReader(sample))
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(d.WriteTable(&out))
	is.True(strings.Contains(out.String(), "q: steps waited 7.00 s: no room\n"))
	is.True(strings.Contains(out.String(), "owner changed 2 times, at 0.00 s, 5.00 s\n"))
}

func TestPlot(t *testing.T) {
	is := is.New(t)
	d := New()
	_, err := d.Read(strings.NewReader(sample))
	is.NoErr(err)
	is.Equal(d.bars()[1], bar{waiting: 3}) // after two seconds j1, j2 and j4 wait; j3 has failed
	is.Equal(d.bars()[2], bar{waiting: 1, running: 1})
	var out bytes.Buffer
	d.WritePlot(&out)
	decoder := xml.NewDecoder(&out)
	for err == nil {
		_, err = decoder.Token()
	}
	is.True(errors.Is(err, io.EOF)) // well-formed
}

func TestEmptyDay(t *testing.T) {
	is := is.New(t)
	d := New()
	is.Equal(len(d.Queues()), 0)
	var out bytes.Buffer
	is.NoErr(d.WriteTable(&out))
	d.WritePlot(&out)
}
