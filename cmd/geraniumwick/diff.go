package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/geraniumwick/geraniumwick/internal/config"
)

// maxDiffCells bounds the cells of the table that a comparison needs. A larger change is shown as one
// removed and one added block.
const maxDiffCells = 4 << 20

// diffLine is one line of a comparison. Its kind is ' ' for a common, '-' for a removed and '+' for an
// added line.
type diffLine struct {
	kind byte
	text string
}

// diffLines compares two texts line by line.
func diffLines(before, after string) []diffLine {
	a, b := splitLines(before), splitLines(after)
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	end := 0
	for end < len(a)-start && end < len(b)-start && a[len(a)-1-end] == b[len(b)-1-end] {
		end++
	}
	var lines []diffLine
	lines = appendLines(lines, ' ', a[:start])
	lines = append(lines, diffMiddle(a[start:len(a)-end], b[start:len(b)-end])...)
	return appendLines(lines, ' ', a[len(a)-end:])
}

// diffMiddle compares the lines between the common start and end by their longest common subsequence.
func diffMiddle(a, b []string) []diffLine {
	if len(a)*len(b) > maxDiffCells {
		return appendLines(appendLines(nil, '-', a), '+', b)
	}
	common := commonLengths(a, b)
	var lines []diffLine
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			lines = append(lines, diffLine{' ', a[i]})
			i++
			j++
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			lines = append(lines, diffLine{'-', a[i]})
			i++
		default:
			lines = append(lines, diffLine{'+', b[j]})
			j++
		}
	}
	return lines
}

// commonLengths returns, for each pair of positions, the length of the longest common subsequence of
// the lines from these positions on.
func commonLengths(a, b []string) [][]int32 {
	common := make([][]int32, len(a)+1)
	for i := range common {
		common[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	return common
}

// appendLines appends lines of one kind.
func appendLines(lines []diffLine, kind byte, texts []string) []diffLine {
	for _, text := range texts {
		lines = append(lines, diffLine{kind, text})
	}
	return lines
}

// splitLines returns the lines of the text without their newlines.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// printDiff prints the changed lines with two lines of context.
func printDiff(w io.Writer, st styles, lines []diffLine) {
	const context = 2
	lastShown := -1
	for i, line := range lines {
		if !changeWithin(lines, i, context) {
			continue
		}
		if i > lastShown+1 {
			fmt.Fprintln(w, "  ...")
		}
		lastShown = i
		text := string(line.kind) + " " + oneLine(line.text)
		switch line.kind {
		case '-':
			text = st.bad(text)
		case '+':
			text = st.good(text)
		}
		fmt.Fprintln(w, text)
	}
}

// changeWithin reports whether there is a changed line at most n lines from line i.
func changeWithin(lines []diffLine, i, n int) bool {
	for j := max(0, i-n); j <= min(len(lines)-1, i+n); j++ {
		if lines[j].kind != ' ' {
			return true
		}
	}
	return false
}

// printConflict prints the edits that were accepted before the refused one.
func printConflict(w io.Writer, e *config.ConflictError) {
	for _, change := range e.Changes {
		fmt.Fprintf(w, "revision %d by %s at %s changed line %d:\n", change.Revision, oneLine(change.Actor), formatTime(change.At), change.Line)
		printChangedLines(w, styles{}, change)
	}
}

// printChangedLines prints the lines before and after a change.
func printChangedLines(w io.Writer, st styles, change config.Change) {
	for _, line := range splitLines(change.Before) {
		fmt.Fprintln(w, st.bad("  - "+oneLine(line)))
	}
	for _, line := range splitLines(change.After) {
		fmt.Fprintln(w, st.good("  + "+oneLine(line)))
	}
	if change.Truncated {
		fmt.Fprintln(w, "  (longer; the rest is not kept)")
	}
}
