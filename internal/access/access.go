// Package access finds out who makes a call and which teams it may act for.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// ActorHeader names the person behind a call, for the audit trail only.
	ActorHeader   = "Geraniumwick-Actor"
	maxActorBytes = 64
)

// Identity is who makes a call.
type Identity struct {
	// Operator says that the call may change everything.
	Operator bool
	// Team is set for a call with a team's token; empty with Operator false is anonymous.
	Team model.Team
	// Actor is the name in the audit trail.
	Actor string
}

// Authenticator identifies the calls of one listener.
type Authenticator struct {
	// Document returns the document in force, which holds the hashes of the teams' tokens.
	Document func() (*config.Document, bool)
	// OperatorToken is the operators' bearer token. If it is empty, a call without a token
	// on the operators' listener is an operator's.
	OperatorToken string
	// OperatorListener says that this is the operators' listener.
	OperatorListener bool
}

// Identify returns who makes the call. A token that is not known is refused.
func (g *Authenticator) Identify(r *http.Request) (Identity, error) {
	token, err := bearer(r)
	if err != nil {
		return Identity{}, err
	}
	name := personName(r.Header.Get(ActorHeader))
	if token == "" {
		if g.OperatorListener && g.OperatorToken == "" {
			return Identity{Operator: true, Actor: "operator" + name}, nil
		}
		return Identity{Actor: "anonymous" + name}, nil
	}
	if g.OperatorListener && g.OperatorToken != "" && sameToken(token, g.OperatorToken) {
		return Identity{Operator: true, Actor: "operator" + name}, nil
	}
	team, err := g.teamOf(token)
	if err != nil {
		return Identity{}, err
	}
	return Identity{Team: team, Actor: "team " + string(team) + name}, nil
}

// RequireIdentity is Identify for calls that no anonymous caller may make.
func (g *Authenticator) RequireIdentity(r *http.Request) (Identity, error) {
	id, err := g.Identify(r)
	if err != nil {
		return Identity{}, err
	}
	if !id.Operator && id.Team == "" {
		return Identity{}, forbidden("this call needs a bearer token")
	}
	return id, nil
}

// AllowOperator returns an error unless the identity is an operator's.
func AllowOperator(id Identity) error {
	if id.Operator {
		return nil
	}
	return forbidden("%s may not do this: only operators may", id.Actor)
}

// AllowSection returns an error unless the identity may edit the section.
func AllowSection(id Identity, section string) error {
	if id.Operator || (id.Team != "" && string(id.Team) == section) {
		return nil
	}
	return forbidden("%s may not edit section %q", id.Actor, section)
}

// AllowTeam returns an error unless the identity may act for the team. An anonymous caller
// may on the callers' listener if the document gives the team no token.
func (g *Authenticator) AllowTeam(id Identity, team model.Team) error {
	if id.Operator || (id.Team != "" && id.Team == team) {
		return nil
	}
	if id.Team == "" && !g.OperatorListener {
		protected, err := g.hasToken(team)
		if err != nil {
			return err
		}
		if !protected {
			return nil
		}
	}
	return forbidden("%s may not act for team %q", id.Actor, team)
}

// teamOf returns the team that has the token.
func (g *Authenticator) teamOf(token string) (model.Team, error) {
	doc, err := g.document()
	if err != nil {
		return "", err
	}
	hash := sha256.Sum256([]byte(token))
	for _, t := range doc.Operators.Teams {
		known, err := hex.DecodeString(t.TokenSHA256)
		if err == nil && subtle.ConstantTimeCompare(known, hash[:]) == 1 {
			return t.Team, nil
		}
	}
	return "", forbidden("the bearer token is not known")
}

// hasToken reports whether the document gives the team a token.
func (g *Authenticator) hasToken(team model.Team) (bool, error) {
	doc, err := g.document()
	if err != nil {
		return false, err
	}
	for _, t := range doc.Operators.Teams {
		if t.Team == team {
			return t.TokenSHA256 != "", nil
		}
	}
	return false, nil
}

// document returns the document in force.
func (g *Authenticator) document() (*config.Document, error) {
	doc, ok := g.Document()
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonConfigStale, "this instance has no configuration yet")
	}
	return doc, nil
}

// bearer returns the bearer token of the call; empty means none.
func bearer(r *http.Request) (string, error) {
	header := r.Header.Get("Authorization")
	if header == "" {
		return "", nil
	}
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", forbidden("the Authorization header must be of the form: Bearer TOKEN")
	}
	return token, nil
}

// sameToken compares two tokens in a time that does not depend on where they differ.
func sameToken(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// personName returns the given name in brackets, without control characters and shortened.
func personName(name string) string {
	name = strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f {
			return -1
		}
		return c
	}, strings.ToValidUTF8(name, ""))
	if name == "" {
		return ""
	}
	return " (" + strings.ToValidUTF8(name[:min(len(name), maxActorBytes)], "") + ")"
}

// forbidden returns an error for a call that was refused before anything was done.
func forbidden(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.ReasonForbidden, format, args...)
}
