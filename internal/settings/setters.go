package settings

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	maxNameBytes  = 63
	minTokenBytes = 16
)

var errRequired = errors.New("is required")

// setInstance sets the instance id. An empty value gives a random id.
func setInstance(field *model.InstanceID) func(string) error {
	return func(v string) error {
		if v == "" {
			v = "i-" + strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
		}
		return setName(field)(v)
	}
}

// setName sets a required name.
func setName[T ~string](field *T) func(string) error {
	return func(v string) error {
		if v == "" {
			return errRequired
		}
		if len(v) > maxNameBytes {
			return fmt.Errorf("has %d bytes, at most %d are allowed", len(v), maxNameBytes)
		}
		for _, c := range v {
			letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
			if !letter && c != '-' && c != '_' && c != '.' {
				return fmt.Errorf("%q may have letters, digits, '-', '_' and '.' only", v)
			}
		}
		*field = T(v)
		return nil
	}
}

// setAddress sets the address of a listener, an IP address and a port.
func setAddress(field *string) func(string) error {
	return func(v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return fmt.Errorf("%q must be an IP address and a port, such as 10.0.0.7:7400", v)
		}
		*field = v
		return nil
	}
}

// setAdvertised sets an address that other processes connect to. The default is the address of
// the listener.
func setAdvertised(field, listen *string) func(string) error {
	return func(v string) error {
		if v == "" {
			v = *listen
		}
		if v == "" {
			return nil // The problem is reported for the listener's own setting.
		}
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return fmt.Errorf("%q must be an IP address and a port, such as 10.0.0.7:7402", v)
		}
		if a.Addr().IsUnspecified() {
			return fmt.Errorf("%q is not an address that other processes can connect to; set an address of this instance", v)
		}
		*field = v
		return nil
	}
}

// setURL sets a required base URL.
func setURL(field *string) func(string) error {
	return func(v string) error {
		if v == "" {
			return errRequired
		}
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fmt.Errorf("%q must be an http or https URL", v)
		}
		if _, port, err := net.SplitHostPort(u.Host); err == nil && port == "" {
			return fmt.Errorf("%q has no port", v)
		}
		*field = strings.TrimSuffix(v, "/")
		return nil
	}
}

// setURLs sets a list of base URLs.
func setURLs(field *[]string) func(string) error {
	return func(v string) error {
		if v == "" {
			return errRequired
		}
		var list []string
		for element := range strings.SplitSeq(v, ",") {
			var baseURL string
			if err := setURL(&baseURL)(strings.TrimSpace(element)); err != nil {
				return err
			}
			list = append(list, baseURL)
		}
		*field = list
		return nil
	}
}

// setDuration sets a duration from low to high.
func setDuration(field *time.Duration, low, high time.Duration) func(string) error {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q must be a duration such as 500ms or 5s", v)
		}
		if d < low || d > high {
			return fmt.Errorf("is %v, it must be from %v to %v", d, low, high)
		}
		*field = d
		return nil
	}
}

// setInt sets a whole number from low to high.
func setInt[T int | int64](field *T, low, high T) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return fmt.Errorf("%q must be a whole number", v)
		}
		if n < int64(low) || n > int64(high) {
			return fmt.Errorf("is %d, it must be from %d to %d", n, low, high)
		}
		*field = T(n)
		return nil
	}
}

// setLevel sets the log level.
func setLevel(field *zerolog.Level) func(string) error {
	return func(v string) error {
		switch v {
		case "debug", "info", "warn", "error":
		default:
			return fmt.Errorf("%q must be debug, info, warn or error", v)
		}
		level, err := zerolog.ParseLevel(v)
		*field = level
		return err
	}
}

// setToken sets an optional bearer token. Its errors do not contain the token.
func setToken(field *string) func(string) error {
	return func(v string) error {
		if v != "" && len(v) < minTokenBytes {
			return fmt.Errorf("must have at least %d characters", minTokenBytes)
		}
		if strings.ContainsAny(v, " \t\r\n") {
			return errors.New("must not contain white space")
		}
		*field = v
		return nil
	}
}

// checkCombined checks the settings that depend on each other, and loads the certificate. Listeners
// with port 0 never conflict, because the system chooses a free port for each.
func (s *Settings) checkCombined(cert, key string) []string {
	var problems []string
	listeners := map[string]string{}
	for _, l := range []struct{ name, addr string }{
		{"caller-listen", s.CallerListen}, {"operator-listen", s.OperatorListen}, {"peer-listen", s.PeerListen},
	} {
		if strings.HasSuffix(l.addr, ":0") {
			continue
		}
		if other, duplicate := listeners[l.addr]; duplicate {
			problems = append(problems, fmt.Sprintf("--%s: %s is the address of --%s too", l.name, l.addr, other))
		}
		listeners[l.addr] = l.name
	}
	if (cert == "") != (key == "") {
		return append(problems, "--tls-cert and --tls-key must be given together")
	}
	if cert == "" {
		return problems
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return append(problems, fmt.Sprintf("--tls-cert, --tls-key: %v", err))
	}
	s.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	return problems
}
