// Package access authenticates calls and checks which teams and sections they may act on.
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
	// ActorHeader carries the name of the person who makes a call. It is used only in the audit
	// trail.
	ActorHeader   = "Geraniumwick-Actor"
	maxActorBytes = 64
)

// Identity is the authenticated identity of a caller.
type Identity struct {
	// Operator says that the caller is an operator, who may change everything.
	Operator bool
	// Team is set for a call with a team's token. If it is empty and Operator is false, the
	// caller is anonymous.
	Team model.Team
	// Actor is the name in the audit trail.
	Actor string
}

// Authenticator authenticates the calls of one listener.
type Authenticator struct {
	// Document returns the document in force, which holds the hashes of the teams' tokens.
	Document func() (*config.Document, bool)
	// OperatorToken is the operators' bearer token. If it is empty, a call without a token
	// on the operators' listener is treated as an operator's.
	OperatorToken string
	// OperatorListener says that this is the operators' listener.
	OperatorListener bool
}

// Identify returns the identity of the caller. An unknown token is refused.
func (a *Authenticator) Identify(r *http.Request) (Identity, error) {
	token, err := bearerToken(r)
	if err != nil {
		return Identity{}, err
	}
	name := actorSuffix(r.Header.Get(ActorHeader))
	if token == "" {
		if a.OperatorListener && a.OperatorToken == "" {
			return Identity{Operator: true, Actor: "operator" + name}, nil
		}
		return Identity{Actor: "anonymous" + name}, nil
	}
	if a.OperatorListener && a.OperatorToken != "" && tokensEqual(token, a.OperatorToken) {
		return Identity{Operator: true, Actor: "operator" + name}, nil
	}
	team, err := a.teamOf(token)
	if err != nil {
		return Identity{}, err
	}
	return Identity{Team: team, Actor: "team " + string(team) + name}, nil
}

// RequireIdentity is like Identify, but refuses anonymous callers.
func (a *Authenticator) RequireIdentity(r *http.Request) (Identity, error) {
	id, err := a.Identify(r)
	if err != nil {
		return Identity{}, err
	}
	if !id.Operator && id.Team == "" {
		return Identity{}, forbiddenError("this call needs a bearer token")
	}
	return id, nil
}

// AllowOperator returns an error unless the identity is an operator's.
func AllowOperator(id Identity) error {
	if id.Operator {
		return nil
	}
	return forbiddenError("%s may not do this: only operators may", id.Actor)
}

// AllowSection returns an error unless the identity may edit the section.
func AllowSection(id Identity, section string) error {
	if id.Operator || (id.Team != "" && string(id.Team) == section) {
		return nil
	}
	return forbiddenError("%s may not edit section %q", id.Actor, section)
}

// AllowTeam returns an error unless the identity may act for the team. On the callers' listener an
// anonymous caller may act for a team that has no token in the document.
func (a *Authenticator) AllowTeam(id Identity, team model.Team) error {
	if id.Operator || (id.Team != "" && id.Team == team) {
		return nil
	}
	if id.Team == "" && !a.OperatorListener {
		protected, err := a.hasToken(team)
		if err != nil {
			return err
		}
		if !protected {
			return nil
		}
	}
	return forbiddenError("%s may not act for team %q", id.Actor, team)
}

// teamOf returns the team that has the token.
func (a *Authenticator) teamOf(token string) (model.Team, error) {
	doc, err := a.document()
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
	return "", forbiddenError("the bearer token is not known")
}

// hasToken reports whether the document has a token hash for the team.
func (a *Authenticator) hasToken(team model.Team) (bool, error) {
	doc, err := a.document()
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
func (a *Authenticator) document() (*config.Document, error) {
	doc, ok := a.Document()
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonConfigStale, "this instance has no configuration yet")
	}
	return doc, nil
}

// bearerToken returns the bearer token of the call; empty means that there is none.
func bearerToken(r *http.Request) (string, error) {
	header := r.Header.Get("Authorization")
	if header == "" {
		return "", nil
	}
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", forbiddenError("the Authorization header must be of the form: Bearer TOKEN")
	}
	return token, nil
}

// tokensEqual compares two tokens in a time that does not depend on where they differ, so that an
// attacker cannot find the token by measuring response times.
func tokensEqual(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// actorSuffix returns the given name in parentheses, without control characters and truncated to
// maxActorBytes, or an empty string for an empty name. Control characters could forge log lines.
func actorSuffix(name string) string {
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

// forbiddenError returns the error of a call that is refused before it has any effect.
func forbiddenError(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.ReasonForbidden, format, args...)
}
