package config

import (
	"context"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// SetDataCentre takes a data centre out of service or back in by editing the operators'
// section in place, comments kept. It starts again from the newest text when another edit
// came first, until ctx ends. Errors are as of Put.
func (e *Editor) SetDataCentre(ctx context.Context, name model.DataCentre, out bool, actor string) (EditResult, error) {
	accepted, err := e.setDataCentre(ctx, name, out, actor)
	e.recordOutcome(OperatorsSection, actor, accepted, err)
	return accepted, err
}

// setDataCentre is SetDataCentre without the audit entry.
func (e *Editor) setDataCentre(ctx context.Context, name model.DataCentre, out bool, actor string) (EditResult, error) {
	change := e.newChange(OperatorsSection, actor)
	for {
		accepted, err := e.trySetDataCentre(ctx, name, out, change)
		if _, lost := err.(*ConflictError); !lost {
			return accepted, err
		}
		if ctx.Err() != nil {
			return accepted, err
		}
	}
}

// trySetDataCentre makes one attempt on the newest text.
func (e *Editor) trySetDataCentre(ctx context.Context, name model.DataCentre, out bool, change Change) (EditResult, error) {
	base, err := e.readFresh(ctx, OperatorsSection, func() (platform.KeyValue, error) {
		kv, _, err := e.store.Get(ctx, SectionPrefix+OperatorsSection)
		return kv, err
	})
	if err != nil {
		return EditResult{}, err
	}
	current, err := parseCurrent(base)
	if err != nil {
		return EditResult{}, err
	}
	text, changed, err := setOut(current, name, out)
	if err != nil {
		return EditResult{}, err
	}
	if !changed {
		return e.accept(ctx, EditResult{Section: OperatorsSection, Revision: current.Revision, Unchanged: true})
	}
	next, err := Parse(OperatorsSection, []byte(text))
	if err != nil {
		return EditResult{}, err
	}
	return e.write(ctx, edit{change: change, section: next, base: base})
}

// parseCurrent parses the stored operators' section.
func parseCurrent(kv platform.KeyValue) (*Section, error) {
	if kv.ModRevision == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "there is no operators' section yet")
	}
	return parseStored(kv)
}

// setOut returns the section's text with the data centre's out field set, and whether that
// changed anything.
func setOut(s *Section, name model.DataCentre, out bool) (text string, changed bool, err error) {
	for i, dc := range s.Operators.DataCentres {
		if dc.Name != name {
			continue
		}
		if dc.Out == out {
			return s.Text, false, nil
		}
		text, err := s.spliceOut(i, out)
		return text, true, err
	}
	return "", false, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "data centre %q is not in the operators' section", name)
}

// spliceOut edits the text at the position of the data centre with the index.
func (s *Section) spliceOut(index int, out bool) (string, error) {
	path := fmt.Sprintf("$.dataCentres[%d]", index)
	value := fmt.Sprint(out)
	text := s.Text
	tree := s.tree()
	if node := nodeAt(tree, path+".out"); node != nil {
		text = replaceToken(text, node.GetToken(), value)
	} else if entry := nodeAt(tree, path); entry != nil {
		text = insertField(text, entry, "out: "+value)
	}
	edited, err := Parse(s.Name, []byte(text))
	if err != nil || len(edited.Operators.DataCentres) != len(s.Operators.DataCentres) || edited.Operators.DataCentres[index].Out != out {
		return "", verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the entry of data centre %d cannot be edited in place; edit the section instead", index+1)
	}
	return text, nil
}

// replaceToken replaces a one-line scalar.
func replaceToken(text string, tk *token.Token, value string) string {
	lines := strings.SplitAfter(text, "\n")
	line := []rune(lines[tk.Position.Line-1])
	start := tk.Position.Column - 1
	end := start + len([]rune(strings.TrimSpace(tk.Origin)))
	lines[tk.Position.Line-1] = string(line[:start]) + value + string(line[end:])
	return strings.Join(lines, "")
}

// insertField inserts a field into a mapping: before its first field in brackets, and
// otherwise on a line of its own after the first field.
func insertField(text string, entry ast.Node, field string) string {
	first := firstField(entry)
	if first == nil {
		return text
	}
	key := first.Key.GetToken().Position
	lines := strings.SplitAfter(text, "\n")
	if m, ok := entry.(*ast.MappingNode); ok && m.IsFlowStyle {
		line := []rune(lines[key.Line-1])
		lines[key.Line-1] = string(line[:key.Column-1]) + field + ", " + string(line[key.Column-1:])
		return strings.Join(lines, "")
	}
	at := first.Value.GetToken().Position.Line
	if !strings.HasSuffix(lines[at-1], "\n") {
		lines[at-1] += "\n"
	}
	inserted := strings.Repeat(" ", key.Column-1) + field + "\n"
	return strings.Join(lines[:at], "") + inserted + strings.Join(lines[at:], "")
}

// firstField returns the first field of a mapping, or nil.
func firstField(entry ast.Node) *ast.MappingValueNode {
	switch node := entry.(type) {
	case *ast.MappingNode:
		if len(node.Values) > 0 {
			return node.Values[0]
		}
	case *ast.MappingValueNode:
		return node
	}
	return nil
}
