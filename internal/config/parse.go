package config

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// MaxSectionBytes is the size limit of a section's text. Together with its change history
	// the text stays under the store's limit of 1 MB per value.
	MaxSectionBytes = 128 << 10
	// maxNesting is the largest allowed nesting of brackets in a section.
	maxNesting = 16
	// maxItemColumn is the largest allowed column of a list item outside brackets. It limits the
	// depth of nested lists, which the YAML library parses in more than linear time.
	maxItemColumn = 64
)

// Section is one parsed section of the document.
type Section struct {
	Name string
	// Revision is the store revision of the last write; zero if it is not in the store.
	Revision model.Revision
	Text     string
	// Operators is set for the operators' section, Team for every other.
	Operators *Operators
	Team      *TeamSection
}

// Parse parses the text of the named section and makes all checks that need no other section.
// The error is a *CheckError with line and column.
func Parse(name string, text []byte) (*Section, error) {
	s := &Section{Name: name, Text: string(text)}
	tree, err := s.parse()
	if err != nil {
		return nil, err
	}
	if problems := s.check(tree); len(problems) > 0 {
		return nil, &CheckError{Problems: problems}
	}
	return s, nil
}

// parse fills the section from its text and returns the syntax tree. The section does not keep
// the tree, which is several times as large as the text.
func (s *Section) parse() (*ast.File, error) {
	if !validName(s.Name) {
		return nil, s.problem(nil, fmt.Sprintf("section name %q must have 1 to 63 of a-z, 0-9 and hyphen, and start with a letter", s.Name))
	}
	if len(s.Text) > MaxSectionBytes {
		return nil, s.problem(nil, fmt.Sprintf("the section has %d bytes, at most %d are allowed", len(s.Text), MaxSectionBytes))
	}
	if strings.TrimSpace(s.Text) == "" {
		return nil, s.problem(nil, "the section is empty")
	}
	return s.parseYAML()
}

// parseYAML is parse without the checks of name and size. A panic of the YAML library is
// reported as a problem, so that no text can terminate the process.
func (s *Section) parseYAML() (tree *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = s.problem(nil, "the section cannot be read as YAML")
		}
	}()
	tokens := lexer.Tokenize(s.Text)
	if tk, message := unsupportedToken(tokens); tk != nil {
		return nil, s.problem(tk, message)
	}
	tree, err = parser.Parse(tokens, parser.ParseComments)
	if err != nil {
		return nil, s.syntaxProblem(err)
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return nil, s.problem(nil, "the section must be one YAML document")
	}
	return tree, s.decode(tree)
}

// decode fills the typed form of the section.
func (s *Section) decode(tree *ast.File) error {
	var out any
	if s.Name == OperatorsSection {
		s.Operators = &Operators{}
		out = s.Operators
	} else {
		s.Team = &TeamSection{}
		out = s.Team
	}
	if tk, message := invalidDuration(tree.Docs[0]); tk != nil {
		return s.problem(tk, message)
	}
	if err := yaml.NodeToValue(tree.Docs[0].Body, out, yaml.Strict()); err != nil {
		return s.syntaxProblem(err)
	}
	return nil
}

// tree parses the section again and returns its syntax tree, or nil if that fails.
func (s *Section) tree() *ast.File {
	reparsed := &Section{Name: s.Name, Text: s.Text}
	tree, err := reparsed.parseYAML()
	if err != nil {
		return nil
	}
	return tree
}

// invalidDuration returns the first value of a duration field that is not a valid duration, or
// nil. The YAML library reports such a value without its position.
func invalidDuration(doc ast.Node) (tk *token.Token, message string) {
	for _, node := range ast.Filter(ast.MappingValueType, doc) {
		field, ok := node.(*ast.MappingValueNode)
		if !ok || field.Value == nil || field.Value.GetToken() == nil {
			continue
		}
		name := field.Key.GetToken().Value
		if name != "deadline" && name != "declaredRun" {
			continue
		}
		value := field.Value.GetToken()
		if _, err := time.ParseDuration(value.Value); err != nil {
			return value, fmt.Sprintf("%s is %q, it must be a duration with its unit, such as 500ms or 10m", name, value.Value)
		}
	}
	return nil, ""
}

// unsupportedToken returns the first token that is not allowed in a section, or nil. Anchors,
// aliases and tags would let a short text expand into a large document.
func unsupportedToken(tokens token.Tokens) (*token.Token, string) {
	depth := 0
	for _, tk := range tokens {
		switch tk.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			return tk, "anchors, aliases and merge keys are not supported"
		case token.TagType, token.DirectiveType:
			return tk, "tags and directives are not supported"
		case token.SequenceEntryType:
			if tk.Position.Column > maxItemColumn {
				return tk, fmt.Sprintf("a list item begins after column %d", maxItemColumn)
			}
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		}
		if depth > maxNesting {
			return tk, fmt.Sprintf("brackets are nested deeper than %d", maxNesting)
		}
	}
	return nil, ""
}

// problem returns a CheckError at the token.
func (s *Section) problem(tk *token.Token, message string) error {
	p := Problem{Section: s.Name, Message: message}
	if tk != nil && tk.Position != nil {
		p.Line = tk.Position.Line
		p.Column = tk.Position.Column
	}
	return &CheckError{Problems: []Problem{p}}
}

// syntaxProblem returns a CheckError for an error of the YAML library.
func (s *Section) syntaxProblem(err error) error {
	var located yaml.Error
	if errors.As(err, &located) {
		return s.problem(located.GetToken(), located.GetMessage())
	}
	return s.problem(nil, err.Error())
}

// locate returns the line and column of the node at the YAML path, or of its nearest existing
// parent.
func locate(tree *ast.File, path string) (line, column int) {
	for tree != nil && path != "" {
		if tk := tokenAt(tree, path); tk != nil && tk.Position != nil {
			return tk.Position.Line, tk.Position.Column
		}
		path = parentPath(path)
	}
	return 0, 0
}

// tokenAt returns the first token of the node at the path, or nil.
func tokenAt(tree *ast.File, path string) *token.Token {
	node := nodeAt(tree, path)
	if node == nil {
		return nil
	}
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return m.Values[0].Key.GetToken()
	}
	return node.GetToken()
}

// nodeAt returns the node at the path, or nil.
func nodeAt(tree *ast.File, path string) ast.Node {
	p, err := yaml.PathString(path)
	if err != nil || tree == nil {
		return nil
	}
	node, err := p.FilterFile(tree)
	if err != nil {
		return nil
	}
	return node
}

// parentPath removes the last element of a YAML path; the parent of "$" is "".
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// validName reports whether the text is a valid name of a section, team, service, job class,
// data centre or rack.
func validName(s string) bool {
	if s == "" || len(s) > 63 || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	for _, c := range s {
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-':
		default:
			return false
		}
	}
	return true
}
