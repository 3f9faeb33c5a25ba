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

// SetDataCentre takes a data centre out of service or brings it back by editing the operators'
// section in place, which keeps the comments in the text. After a conflict with another edit it
// starts again from the newest text, until ctx ends. It returns the same errors as Put.
func (e *Editor) SetDataCentre(ctx context.Context, name model.DataCentre, out bool, actor string) (EditResult, error) {
	result, err := e.setDataCentre(ctx, name, out, actor)
	e.recordOutcome(OperatorsSection, actor, result, err)
	return result, err
}

// setDataCentre is SetDataCentre without the audit entry.
func (e *Editor) setDataCentre(ctx context.Context, name model.DataCentre, out bool, actor string) (EditResult, error) {
	change := e.newChange(OperatorsSection, actor)
	for {
		result, err := e.trySetDataCentre(ctx, name, out, change)
		if _, conflicted := err.(*ConflictError); !conflicted {
			return result, err
		}
		if ctx.Err() != nil {
			return result, err
		}
	}
}

// trySetDataCentre makes one attempt on the newest text.
func (e *Editor) trySetDataCentre(ctx context.Context, name model.DataCentre, out bool, change Change) (EditResult, error) {
	base, err := e.readUpToDate(ctx, OperatorsSection, func() (platform.KeyValue, error) {
		kv, _, err := e.store.Get(ctx, SectionPrefix+OperatorsSection)
		return kv, err
	})
	if err != nil {
		return EditResult{}, err
	}
	current, err := parseOperatorsSection(base)
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
	return e.write(ctx, pendingEdit{change: change, section: next, base: base})
}

// parseOperatorsSection parses the stored operators' section.
func parseOperatorsSection(kv platform.KeyValue) (*Section, error) {
	if kv.ModRevision == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "there is no operators' section yet")
	}
	return parseStored(kv)
}

// setOut returns the section's text with the out field of the data centre set, and whether the
// field had another value before.
func setOut(s *Section, name model.DataCentre, out bool) (text string, changed bool, err error) {
	for i, dc := range s.Operators.DataCentres {
		if dc.Name != name {
			continue
		}
		if dc.Out == out {
			return s.Text, false, nil
		}
		text, err := s.editOutField(i, out)
		return text, true, err
	}
	return "", false, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "data centre %q is not in the operators' section", name)
}

// editOutField returns the section's text with the out field of the data centre at the index
// replaced or inserted. It edits the text, because encoding the parsed section would lose its
// comments, and then parses the result to check that the field has the value out.
func (s *Section) editOutField(index int, out bool) (string, error) {
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
		return "", verdict.New(verdict.NotRun, verdict.ReasonInvalid, "entry %d of dataCentres cannot be edited in place; edit the section instead", index+1)
	}
	return text, nil
}

// replaceToken replaces a scalar that is on a single line. It works on runes, because the column of
// a token counts characters.
func replaceToken(text string, tk *token.Token, value string) string {
	lines := strings.SplitAfter(text, "\n")
	line := []rune(lines[tk.Position.Line-1])
	start := tk.Position.Column - 1
	end := start + len([]rune(strings.TrimSpace(tk.Origin)))
	lines[tk.Position.Line-1] = string(line[:start]) + value + string(line[end:])
	return strings.Join(lines, "")
}

// insertField inserts a field into a mapping: before the first field if the mapping is in flow
// style ({...}), otherwise on a separate line after the first field.
func insertField(text string, entry ast.Node, field string) string {
	first := firstField(entry)
	if first == nil {
		return text
	}
	keyPosition := first.Key.GetToken().Position
	lines := strings.SplitAfter(text, "\n")
	if m, ok := entry.(*ast.MappingNode); ok && m.IsFlowStyle {
		line := []rune(lines[keyPosition.Line-1])
		lines[keyPosition.Line-1] = string(line[:keyPosition.Column-1]) + field + ", " + string(line[keyPosition.Column-1:])
		return strings.Join(lines, "")
	}
	lineNumber := first.Value.GetToken().Position.Line
	if !strings.HasSuffix(lines[lineNumber-1], "\n") {
		lines[lineNumber-1] += "\n"
	}
	inserted := strings.Repeat(" ", keyPosition.Column-1) + field + "\n"
	return strings.Join(lines[:lineNumber], "") + inserted + strings.Join(lines[lineNumber:], "")
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
