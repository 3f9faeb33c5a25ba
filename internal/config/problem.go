package config

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Problem is one fault of a section, with its position.
type Problem struct {
	Section string `json:"section"`
	// Line and Column count from 1; zero means that the position is not known.
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String returns the problem in the form section:line:column: message.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Section, p.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.Section, p.Line, p.Column, p.Message)
}

// CheckError lists all problems of a refused edit. Nothing was changed.
type CheckError struct {
	Problems []Problem
}

// Error implements error with one line for each problem.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// problemList collects the problems of one section.
type problemList struct {
	section *Section
	// tree is the section's syntax tree; it is parsed again for the first problem if it is nil.
	tree *ast.File
	list []Problem
}

// add appends a problem at the YAML path.
func (l *problemList) add(path, format string, args ...any) {
	if l.tree == nil {
		l.tree = l.section.tree()
	}
	line, column := locate(l.tree, path)
	l.list = append(l.list, Problem{
		Section: l.section.Name,
		Line:    line,
		Column:  column,
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}
