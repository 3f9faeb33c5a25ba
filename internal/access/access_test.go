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

// Tokens used by the tests.
const (
	operatorToken = "operator-token-0123"
	levyToken     = "levy-token-0123456"
)

// tokenHash returns the hash of a token as in the field tokenSHA256 of the document.
func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// document returns a document in which team levy has a token, team open has none and team broken
// has an invalid hash.
func document() (*config.Document, bool) {
	return &config.Document{Operators: config.Operators{Teams: []config.TeamAccess{
		{Team: "broken", TokenSHA256: "zz"},
		{Team: "levy", TokenSHA256: tokenHash(levyToken)},
		{Team: "open"},
	}}}, true
}

// noDocument is the Document function of an instance that has not read a document yet.
func noDocument() (*config.Document, bool) { return nil, false }

// Authenticators of listeners, with and without an operators' token or a document.
var (
	callers                = &Authenticator{Document: document, OperatorToken: operatorToken}
	operators              = &Authenticator{Document: document, OperatorToken: operatorToken, OperatorListener: true}
	openOperators          = &Authenticator{Document: document, OperatorListener: true}
	openCallers            = &Authenticator{Document: document}
	callersWithoutDocument = &Authenticator{Document: noDocument, OperatorToken: operatorToken}
)

// newCall returns a request with the actor header, and with an Authorization header unless it is
// empty.
func newCall(authorization, actor string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	r.Header.Set(ActorHeader, actor)
	return r
}

// checkRefusal checks the reason and the verdict of an error. An empty reason means that no error
// is wanted.
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
		authenticator *Authenticator
		authorization string
		want          Identity
		refused       verdict.Reason
	}{
		{"a caller without a token is anonymous", callers, "", anonymous, ""},
		{"a call without a token on the operators' listener is anonymous if operators have a token", operators, "", anonymous, ""},
		{"without an operators' token a call without a token on the operators' listener is an operator's", openOperators, "", operator, ""},
		{"without an operators' token a call without a token on the callers' listener is anonymous", openCallers, "", anonymous, ""},
		{"the operators' token identifies an operator", operators, "Bearer " + operatorToken, operator, ""},
		{"the operators' token is not known on the callers' listener", callers, "Bearer " + operatorToken, Identity{}, verdict.ReasonForbidden},
		{"a prefix of the operators' token is refused", operators, "Bearer " + operatorToken[:16], Identity{}, verdict.ReasonForbidden},
		{"a team's token identifies the team", callers, "Bearer " + levyToken, levy, ""},
		{"a team's token on the operators' listener does not identify an operator", operators, "Bearer " + levyToken, levy, ""},
		{"a team's token does not identify an operator where calls without a token are operators'", openOperators, "Bearer " + levyToken, levy, ""},
		{"the scheme may be in lower case", callers, "bearer " + levyToken, levy, ""},
		{"the hash of a token is not accepted as a token", callers, "Bearer " + tokenHash(levyToken), Identity{}, verdict.ReasonForbidden},
		{"an unknown token is refused", openOperators, "Bearer nobody-0123456789", Identity{}, verdict.ReasonForbidden},
		{"another scheme is refused", openOperators, "Basic " + levyToken, Identity{}, verdict.ReasonForbidden},
		{"a scheme without a token is refused, not anonymous", openOperators, "Bearer", Identity{}, verdict.ReasonForbidden},
		{"an empty token is refused, not anonymous", openOperators, "Bearer ", Identity{}, verdict.ReasonForbidden},
		{"without a document no team's token can be checked", callersWithoutDocument, "Bearer " + levyToken, Identity{}, verdict.ReasonConfigStale},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.authenticator.Identify(newCall(c.authorization, ""))
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

func TestRequireIdentity(t *testing.T) {
	cases := []struct {
		name          string
		authorization string
		refused       verdict.Reason
	}{
		{"an anonymous call is refused", "", verdict.ReasonForbidden},
		{"a team's call is accepted", "Bearer " + levyToken, ""},
		{"an operator's call is accepted", "Bearer " + operatorToken, ""},
		{"a call with an unknown token is refused", "Bearer nobody-0123456789", verdict.ReasonForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := operators.RequireIdentity(newCall(c.authorization, ""))
			checkRefusal(t, err, c.refused)
		})
	}
}

func TestActorNames(t *testing.T) {
	cases := []struct{ name, given, want string }{
		{"a name is added in parentheses", "hana", "operator (hana)"},
		{"control characters are dropped", "ha\nna\x7f\x00", "operator (hana)"},
		{"a name of control characters counts as empty", "\n\t", "operator"},
		{"bytes that are not valid UTF-8 are dropped", "ha\xffna", "operator (hana)"},
		{"a long name is truncated", strings.Repeat("x", 100), "operator (" + strings.Repeat("x", 64) + ")"},
		{"a character that the limit would split is dropped", strings.Repeat("x", 63) + "é", "operator (" + strings.Repeat("x", 63) + ")"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			id, err := openOperators.Identify(newCall("", c.given))
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
		name          string
		authenticator *Authenticator
		id            Identity
		team          model.Team
		acts          verdict.Reason
		edits         verdict.Reason
		operate       verdict.Reason
	}{
		{"an operator may do everything", operators, operator, "levy", "", "", ""},
		{"a team may act for itself and edit its own section", callers, levy, "levy", "", "", verdict.ReasonForbidden},
		{"a team may not act for another one", callers, levy, "open", verdict.ReasonForbidden, verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"a team may not edit the operators' section", callers, levy, config.OperatorsSection, verdict.ReasonForbidden, verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"an anonymous caller may act for a team without a token", callers, anonymous, "open", "", verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"an anonymous caller may act for a team that the operators' section does not list", callers, anonymous, "unlisted", "", verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"an anonymous caller may not act for a team with a token", callers, anonymous, "levy", verdict.ReasonForbidden, verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"an anonymous caller may not act for a team whose hash is invalid", callers, anonymous, "broken", verdict.ReasonForbidden, verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"on the operators' listener an anonymous call may do nothing", operators, anonymous, "open", verdict.ReasonForbidden, verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"nobody but an operator may edit a section without a name", callers, anonymous, "", "", verdict.ReasonForbidden, verdict.ReasonForbidden},
		{"without a document it is not known which teams have tokens", callersWithoutDocument, anonymous, "open", verdict.ReasonConfigStale, verdict.ReasonForbidden, verdict.ReasonForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checkRefusal(t, c.authenticator.AllowTeam(c.id, c.team), c.acts)
			checkRefusal(t, AllowSection(c.id, string(c.team)), c.edits)
			checkRefusal(t, AllowOperator(c.id), c.operate)
		})
	}
}
