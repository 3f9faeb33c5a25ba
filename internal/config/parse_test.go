package config

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodOperators = `dataCentres:
  - name: a
  - name: b
partitions: 2
racks:
  - {name: r1, dataCentre: a, partition: 0}
weights: {tailLatency: 1, throughput: 1, evictions: 1}
`

const goodTeam = `team: t
quota: {milliCPU: 1000, memoryMB: 1000, accelerators: 0}
services:
  - name: s
    requests:
      - {path: p, class: once, deadline: 1s}
jobs:
  - class: c
    declared: {milliCPU: 10, memoryMB: 10, accelerators: 0}
    declaredRun: 1m
    dataCentres: [a]
`

// TestParseProblems replaces a part of a valid section and checks the reported problem.
func TestParseProblems(t *testing.T) {
	cases := []struct {
		name, section, from, to, want string
	}{
		{"an unknown field is refused", "operators", "partitions: 2", "partitions: 2\npartition: 3", "operators:5:1: unknown field \"partition\""},
		{"a duplicate key is refused", "operators", "partitions: 2", "partitions: 2\npartitions: 3", "operators:5:1: mapping key \"partitions\" already defined at [4:1]"},
		{"a wrong type is refused", "operators", "partitions: 2", "partitions: two", "operators:4:13: "},
		{"broken syntax is refused", "operators", "partitions: 2", "partitions: [2", "operators:5:1: "},
		{"a list in place of a mapping is refused", "operators", goodOperators, "- a\n- b\n", "operators:1:"},
		{"a duplicate data centre is refused", "operators", "name: b", "name: a", `operators:3:11: data centre "a" is listed twice`},
		{"a rack in an unlisted data centre is refused", "operators", "dataCentre: a", "dataCentre: c", `operators:6:28: rack "r1" is in data centre "c", which dataCentres does not list`},
		{"an empty list of data centres is refused", "operators", "dataCentres:\n  - name: a\n  - name: b\n", "dataCentres: []\n", "operators:1:1: dataCentres must list at least one"},
		{"a partition out of range is refused", "operators", "partition: 0", "partition: 2", `operators:6:42: partition 2 of rack "r1" must be from 0 to 1`},
		{"a negative partition is refused", "operators", "partition: 0", "partition: -1", `operators:6:42: partition -1`},
		{"zero partitions are refused", "operators", "partitions: 2", "partitions: 0", "operators:4:13: partitions is 0"},
		{"an invalid name is refused", "operators", "name: b", "name: B", `operators:3:11: data centre "B" must have`},
		{"a negative weight is refused", "operators", "evictions: 1", "evictions: -1", "operators:7:53: evictions is -1, it must be from 0"},
		{"weights that are all zero are refused", "operators", "{tailLatency: 1, throughput: 1, evictions: 1}", "{}", "operators:7:10: at least one weight must be above 0"},
		{"a weight that is not a number is refused", "operators", "evictions: 1", "evictions: .nan", "operators:7:53: evictions is NaN, it must be from 0"},
		{"a short token hash is refused", "operators", "partitions: 2", "partitions: 2\nteams: [{team: t, tokenSHA256: ab}]", "operators:5:32: tokenSHA256 must have 64"},
		{"a team named operators is refused", "operators", "partitions: 2", "partitions: 2\nteams: [{team: operators}]", `operators:5:16: team must not be named "operators"`},
		{"an anchor is refused", "operators", "partitions: 2", "partitions: &n 2", "operators:4:13: anchors"},
		{"a tag is refused", "operators", "partitions: 2", "partitions: !!int 2", "operators:4:13: tags"},
		{"two documents are refused", "operators", "partitions: 2", "partitions: 2\n---\na: 1", "operators: the section must be one YAML document"},
		{"deeply nested brackets are refused", "operators", "partitions: 2", "partitions: " + strings.Repeat("[", 100000), "operators:4:29: brackets"},
		{"deeply nested lists are refused", "operators", "partitions: 2", "partitions:\n  " + strings.Repeat("- ", 10000), "operators:5:65: a list item begins after column 64"},
		{"an oversized section is refused", "operators", "partitions: 2", "partitions: 2 #" + strings.Repeat("x", MaxSectionBytes), "operators: the section has"},
		{"an empty section is refused", "operators", goodOperators, " \n", "operators: the section is empty"},
		{"a section name with a slash is refused", "a/b", "team: t", "team: t", `section name "a/b" must have`},
		{"a section whose team differs from its name is refused", "t", "team: t", "team: u", `t:1:7: team is "u", but the section is named "t"`},
		{"a negative quota is refused", "t", "{milliCPU: 1000", "{milliCPU: -1", "t:2:19: milliCPU is -1, it must be from 0"},
		{"an unknown class is refused", "t", "class: once", "class: twice", `t:6:26: class "twice" must be`},
		{"an invalid deadline is refused", "t", "deadline: 1s", "deadline: soon", `t:6:42: deadline is "soon"`},
		{"a deadline without unit is refused", "t", "deadline: 1s", "deadline: 5", `t:6:42: deadline is "5"`},
		{"hedging of an at-most-once request is refused", "t", "deadline: 1s", "deadline: 1s, hedge: true", "t:6:53: hedge is allowed"},
		{"a path with a '..' element is refused", "t", "path: p", "path: ../p", `t:6:16: path "../p"`},
		{"a duplicate path is refused", "t", "deadline: 1s}", "deadline: 1s}\n      - {path: p, class: once, deadline: 1s}", `t:7:16: path "p" is listed twice`},
		{"a job above the quota is refused", "t", "{milliCPU: 10,", "{milliCPU: 2000,", `t:9:16: job class "c" declares more than the team's quota`},
		{"a job class that declares no CPU is refused", "t", "{milliCPU: 10, memoryMB: 10,", "{milliCPU: 0, memoryMB: 10,", `t:9:16: job class "c" must declare`},
		{"a run time of zero is refused", "t", "declaredRun: 1m", "declaredRun: 0s", "t:10:18: declaredRun is 0s"},
		{"a duplicate data centre of a job class is refused", "t", "[a]", "[a, a]", `t:11:22: data centre "a" is listed twice`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := goodTeam
			if c.section == OperatorsSection {
				text = goodOperators
			}
			is.True(strings.Contains(text, c.from)) // the case changes the valid section
			_, err := Parse(c.section, []byte(strings.Replace(text, c.from, c.to, 1)))
			var check *CheckError
			is.True(errors.As(err, &check))
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %q, want %q", err, c.want)
			}
		})
	}
}

func TestParseListsEveryProblem(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("name: b", "name: a", "partitions: 2", "partitions: 0", "evictions: 1", "evictions: -1").Replace(goodOperators)
	_, err := Parse(OperatorsSection, []byte(text))
	var check *CheckError
	is.True(errors.As(err, &check))
	is.Equal(len(check.Problems), 4) // duplicate name, partitions, partition of the rack, weight
}

func TestExamplesAreAccepted(t *testing.T) {
	for _, deployment := range []string{"nilewave", "pallikkara"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			files, err := filepath.Glob("../../examples/" + deployment + "/*.yaml")
			is.NoErr(err)
			is.True(len(files) > 1)
			set := SectionSet{}
			for _, file := range files {
				name := strings.TrimSuffix(filepath.Base(file), ".yaml")
				s, err := Parse(name, example(t, deployment+"/"+name))
				is.NoErr(err)
				set[name] = s
			}
			is.Equal(set.Check(), nil)
		})
	}
}

func TestCheckBetweenSections(t *testing.T) {
	cases := []struct {
		name, operators, team, want string
	}{
		{"a reference to a listed data centre is accepted", goodOperators, goodTeam, ""},
		{"a reference to an unknown data centre is refused", strings.ReplaceAll(strings.ReplaceAll(goodOperators, "name: a", "name: z"), "dataCentre: a", "dataCentre: z"), goodTeam, `t:11:19: data centre "a" is not in the operators' section`},
		{"a quota above the maxQuota is refused", goodOperators + "teams: [{team: t, maxQuota: {milliCPU: 1, memoryMB: 1, accelerators: 0}}]\n", goodTeam, "t:2:9: the quota is above the maxQuota of the operators' section"},
		{"a service that two teams define is refused", goodOperators, strings.Replace(goodTeam, "name: s", "name: other", 1), `t:4:11: service "other" is defined in section "o"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o, err := Parse(OperatorsSection, []byte(c.operators))
			is.NoErr(err)
			team, err := Parse("t", []byte(c.team))
			is.NoErr(err)
			other, err := Parse("o", []byte("team: o\nquota: {}\nservices: [{name: other, requests: [{path: p, class: once, deadline: 1s}]}]\n"))
			is.NoErr(err)
			got := &CheckError{Problems: NewSectionSet(o, team, other).Check()}
			is.Equal(got.Error(), c.want)
		})
	}
}

func TestCheckChange(t *testing.T) {
	cases := []struct {
		name, from, to, want string
	}{
		{"taking a data centre out is accepted", "name: b", "name: b\n    out: true", ""},
		{"another number of partitions is refused", "partitions: 2", "partitions: 3", "operators:4:13: partitions is fixed at 2"},
		{"moving a rack to another partition is refused", "partition: 0", "partition: 1", `operators:6:42: rack "r1" belongs to partition 0 for good`},
		{"removing a rack is refused", "  - {name: r1, dataCentre: a, partition: 0}\n", "  - {name: r2, dataCentre: a, partition: 0}\n", `operators:6:3: rack "r1" cannot be removed`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before, err := Parse(OperatorsSection, []byte(goodOperators))
			is.NoErr(err)
			after, err := Parse(OperatorsSection, []byte(strings.Replace(goodOperators, c.from, c.to, 1)))
			is.NoErr(err)
			got := (&CheckError{Problems: CheckChange(before, after)}).Error()
			if (c.want == "") != (got == "") || !strings.HasPrefix(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
