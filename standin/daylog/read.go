// Package daylog reads the instances' logs of a day and says where the time of the jobs went: per queue and
// per second of the day, waiting for what, stopped for which reason, failed or repeated.
package daylog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// event is a line of the log, as far as this package needs it.
type event struct {
	Event  string `json:"event"`
	Job    string `json:"job"`
	Queue  string `json:"queue"`
	Result string `json:"result"`
	Step   int    `json:"step"`
	Run    int64  `json:"run"`
	Why    string `json:"why"`
	Owner  string `json:"owner"`
	TimeMS int64  `json:"time"`
}

func (e *event) at() time.Time { return time.UnixMilli(e.TimeMS) }

// maxLine bounds a line of the log, in bytes.
const maxLine = 1 << 20

// Read adds the lines of a log to the day. Text before the first brace of a line, such as a time and the name
// of an instance, is ignored, and so are lines that are no event. It returns how many lines were ignored.
func (d *Day) Read(r io.Reader) (ignored int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		line := lines.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || json.Unmarshal(line[start:], &e) != nil || e.Event == "" || e.TimeMS == 0 {
			ignored++
			continue
		}
		d.add(&e)
	}
	return ignored, lines.Err()
}
