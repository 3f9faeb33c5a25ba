package access

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// The tokens of the tests.
const (
	operatorToken = "operator-token-0123"
	levyToken     = "levy-token-0123456"
)

// hash returns the form in which the document holds a token.
func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// document gives team levy a token, team open none and team broken a hash that is none.
func document() (*config.Document, bool) {
	return &config.Document{Operators: config.Operators{Teams: []config.TeamAccess{
		{Team: "broken", TokenSHA256: "zz"},
		{Team: "levy", TokenSHA256: hash(levyToken)},
		{Team: "open"},
	}}}, true
}

// noDocument is an instance that has read none yet.
func noDocument() (*config.Document, bool) { return nil, false }

// The guards of the listeners.
var (
	callers     = &Authenticator{Document: document, OperatorToken: operatorToken}
	operators   = &Authenticator{Document: document, OperatorToken: operatorToken, OperatorListener: true}
	openGuard   = &Authenticator{Document: document, OperatorListener: true}
	openCallers = &Authenticator{Document: document}
	newCallers  = &Authenticator{Document: noDocument, OperatorToken: operatorToken}
)

// call returns a call with an Authorization header, if any.
func call(authorization, actor string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	r.Header.Set(ActorHeader, actor)
	return r
}

// checkRefusal checks the reason of an error; an empty one means that there is none.
func checkRefusal(t *testing.T, err error, want verdict.Reason) {
	t.Helper()
	if want == "" {
		if err != nil {
			t.Errorf("got %v, want no error", err)
		}
		return
	}
	var e *verdict.Error
	if !errors.As(err, &e) || e.Reason != want || e.Verdict != verdict.NotRun {
		t.Errorf("got %v, want reason %s with verdict not-run", err, want)
	}
}

func TestIdentify(t *testing.T) {
	anonymous := Identity{Actor: "anonymous"}
	operator := Identity{Operator: true, Actor: "operator"}
	levy := Identity{Team: "levy", Actor: "team levy"}
	cases := []struct {
		name          string
		guard         *Authenticator
		authorization string
		want          Identity
		refused       verdict.Reason
	}{
		{"a caller without a token is anonymous", callers, "", anonymous, ""},
		{"on the operators' listener too, if operators have a token", operators, "", anonymous, ""},
		{"without an operators' token everyone there is an operator", openGuard, "", operator, ""},
		{"but not on the callers' listener", openCallers, "", anonymous, ""},
		{"the operators' token makes an operator", operators, "Bearer " + operatorToken, operator, ""},
		{"it is not known on the callers' listener", callers, "Bearer " + operatorToken, Identity{}, verdict.ReasonForbidden},
		{"a token that begins like it is refused", operators, "Bearer " + operatorToken[:16], Identity{}, verdict.ReasonForbidden},
		{"a team's token makes the team", callers, "Bearer " + levyToken, levy, ""},
		{"on the operators' listener it makes no operator", operators, "Bearer " + levyToken, levy, ""},
		{"not even where calls without a token are operators'", openGuard, "Bearer " + levyToken, levy, ""},
		{"the scheme may be in small letters", callers, "bearer " + levyToken, levy, ""},
		{"a hash is not a token", callers, "Bearer " + hash(levyToken), Identity{}, verdict.ReasonForbidden},
		{"a token that nobody has is refused", openGuard, "Bearer nobody-0123456789", Identity{}, verdict.ReasonForbidden},
		{"another scheme is refused", openGuard, "Basic " + levyToken, Identity{}, verdict.ReasonForbidden},
		{"a scheme without a token is refused, not anonymous", openGuard, "Bearer", Identity{}, verdict.ReasonForbidden},
		{"an empty token is refused, not anonymous", openGuard, "Bearer ", Identity{}, verdict.ReasonForbidden},
		{"without a document no team's token can be checked", newCallers, "Bearer " + levyToken, Identity{}, verdict.ReasonConfigStale},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.guard.Identify(call(c.authorization, ""))
			checkRefusal(t, err, c.refused)
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			if err != nil && (strings.Contains(err.Error(), levyToken) || strings.Contains(err.Error(), operatorToken)) {
				t.Errorf("%q shows a token", err)
			}
		})
	}
}

func TestIdentifyKnown(t *testing.T) {
	cases := []struct {
		name          string
		authorization string
		refused       verdict.Reason
	}{
		{"an anonymous call is refused", "", verdict.ReasonForbidden},
		{"a team's is not", "Bearer " + levyToken, ""},
		{"an operator's is not", "Bearer " + operatorToken, ""},
		{"one with an unknown token is refused", "Bearer nobody-0123456789", verdict.ReasonForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := operators.RequireIdentity(call(c.authorization, ""))
			checkRefusal(t, err, c.refused)
		})
	}
}

func TestActorNames(t *testing.T) {
	cases := []struct{ name, given, want string }{
		{"a name is added in brackets", "hana", "operator (hana)"},
		{"control characters are dropped", "ha\nna\x7f\x00", "operator (hana)"},
		{"only control characters are no name", "\n\t", "operator"},
		{"bytes that are no text are dropped", "ha\xffna", "operator (hana)"},
		{"a long name is cut", strings.Repeat("x", 100), "operator (" + strings.Repeat("x", 64) + ")"},
		{"a letter at the cut is dropped whole", strings.Repeat("x", 63) + "é", "operator (" + strings.Repeat("x", 63) + ")"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			id, err := openGuard.Identify(call("", c.given))
			is.NoErr(err)
			is.Equal(id.Actor, c.want)
			is.True(utf8.ValidString(id.Actor))
		})
	}
}

func TestRights(t *testing.T) {
	operator := Identity{Operator: true}
	levy := Identity{Team: "levy"}
	anonymous := Identity{}
	cases := []struct {
		name    string
		guard   *Authenticator
		id      Identity
		team    model.Team
		acts    verdict.Reason
		edits   verdict.Reason
		operate verdict.Reason
	}{
		{"an operator may do everything", operators, operator, "levy", "", "", ""},
		{"a team may act for itself and edit its own section", callers, levy, "levy", "", "", verdict.ReasonForbidden},
		{"a team may not act for another one", callers, levy, "open", verdict.ReasonForbidden, verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"a team may not edit the operators' section", callers, levy, config.OperatorsSection, verdict.ReasonForbidden, verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"an anonymous caller may act for a team without a token", callers, anonymous, "open", "", verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"and for one that the operators' section does not list", callers, anonymous, "unlisted", "", verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"but not for a team with a token", callers, anonymous, "levy", verdict.ReasonForbidden, verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"nor for one whose hash is wrong", callers, anonymous, "broken", verdict.ReasonForbidden, verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"on the operators' listener an anonymous call may do nothing", operators, anonymous, "open", verdict.ReasonForbidden, verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"a section without a name is nobody's", callers, anonymous, "", "", verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"without a document it is not known which teams have tokens", newCallers, anonymous, "open", verdict.ReasonConfigStale, verdict.ReasonForbidden, verdict.ReasonForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checkRefusal(t, c.guard.AllowTeam(c.id, c.team), c.acts)
			checkRefusal(t, AllowSection(c.id, string(c.team)), c.edits)
			checkRefusal(t, AllowOperator(c.id), c.operate)
		})
	}
}
