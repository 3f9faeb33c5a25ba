package configcheck

import (
	"net"
	"strings"
	"time"
)

const (
	// maxStretch bounds the factor of a job's critical path. Times beyond it do not fit a duration.
	maxStretch = 1e6
	// maxUsualSlack is the time beyond the critical path above which the unit is probably mistaken.
	maxUsualSlack = 30 * 24 * time.Hour
)

// address is what selects a route.
type address struct{ host, prefix string }

// checkRoutes checks the routes, alone and against each other.
func (f *findings) checkRoutes(d Document) {
	if len(d.Routes) == 0 {
		f.warnf("", FieldNone, "there are no routes, so every call is answered 404")
	}
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	names := nameSet{}
	addresses := map[address]int{}
	for i, r := range d.Routes {
		subject := Subject("route", i, r.Name)
		f.checkName(names, subject, r.Name, i)
		f.checkHost(subject, r.Host)
		f.checkPrefix(subject, r.Prefix)
		a := address{r.Host, r.Prefix}
		if first, doubled := addresses[a]; doubled {
			f.errorf(subject, FieldPrefix, "can never match: %s has the same host and prefix and comes first", Subject("route", first, d.Routes[first].Name))
		} else {
			addresses[a] = i
		}
		switch {
		case r.Service == "":
			f.errorf(subject, FieldService, "is missing")
		case !services[r.Service]:
			f.errorf(subject, FieldService, "there is no service %q", r.Service)
		}
		f.checkQueue(subject, r)
	}
}

// checkHost checks the host of a route. Instances compare it, letter by letter, with the host of a call without its port.
func (f *findings) checkHost(subject, host string) {
	switch {
	case host == "":
		f.errorf(subject, FieldHost, "is missing")
	case hasPort(host):
		f.errorf(subject, FieldHost, "%q can never match: instances remove the port from the host of a call", host)
	case strings.ContainsAny(host, " \t\r\n/"):
		f.errorf(subject, FieldHost, "%q can never match: no host contains a space or a slash", host)
	case host != strings.ToLower(host):
		f.warnf(subject, FieldHost, "%q matches only callers that write it with the same capital letters", host)
	}
}

// hasPort reports whether an instance would remove a part of the host as its port.
func hasPort(host string) bool {
	_, _, err := net.SplitHostPort(host)
	return err == nil
}

// checkPrefix checks the path prefix of a route.
func (f *findings) checkPrefix(subject, prefix string) {
	switch {
	case prefix == "":
		f.errorf(subject, FieldPrefix, "is missing, so it matches every path of its host")
	case prefix[0] != '/':
		f.errorf(subject, FieldPrefix, "%q can never match: a path begins with a slash", prefix)
	case strings.ContainsAny(prefix, "?#"):
		f.warnf(subject, FieldPrefix, "%q matches only paths with an escaped ? or #; a query is not part of the path", prefix)
	case !strings.HasSuffix(prefix, "/"):
		f.warnf(subject, FieldPrefix, "%q does not end in a slash, so longer names that begin so match too", prefix)
	}
}

// checkQueue checks how the jobs of a route are handled.
func (f *findings) checkQueue(subject string, r Route) {
	if r.Priority < 0 {
		f.errorf(subject, FieldPriority, "must be 0 or more, is %d", r.Priority)
	}
	switch {
	case r.MaxAttempts < 0:
		f.errorf(subject, FieldMaxAttempts, "must be 1 or more, is %d", r.MaxAttempts)
	case r.MaxAttempts == 0:
		f.warnf(subject, FieldMaxAttempts, "is 0 or missing and counts as 1")
	}
	f.checkObjective(subject, r)
	if r.CallTimeout < 0 {
		f.errorf(subject, FieldCallTimeout, "must not be negative, is %v", r.CallTimeout)
	}
	if a := r.Advice; a != nil {
		if a.Decide < 0 || a.Each < 0 || a.Valid < 0 {
			f.errorf(subject, FieldAdvice, "its times must not be negative")
		} else if a.Valid == 0 {
			f.warnf(subject, FieldAdvice, "tickets that are valid for no time end before a task can start")
		}
	}
}

// checkObjective checks the time within which a job should complete.
func (f *findings) checkObjective(subject string, r Route) {
	switch {
	case r.Stretch < 0:
		f.errorf(subject, FieldStretch, "must not be negative, is %v", r.Stretch)
	case r.Stretch > maxStretch:
		f.errorf(subject, FieldStretch, "must be at most %v, is %v", float64(maxStretch), r.Stretch)
	case r.Stretch < 1 && r.Slack == 0:
		f.warnf(subject, FieldStretch, "is %v without time beyond it: jobs would have to complete sooner than their longest chain of steps takes", r.Stretch)
	}
	switch {
	case r.Slack < 0:
		f.errorf(subject, FieldSlack, "must not be negative, is %v", r.Slack)
	case r.Slack > maxUsualSlack:
		f.warnf(subject, FieldSlack, "is %v; is the unit right?", r.Slack)
	}
}
