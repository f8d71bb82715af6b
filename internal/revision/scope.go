// Package revision has the types that configuration travels in between the control replicas and the proxies: scopes,
// numbered revisions, documents and the messages of a watch.
//
// It is free of I/O and of a clock. Documents are JSON objects; a proxy's configuration is the documents of all scopes
// that it lies in, merged by RFC 7396 from the widest scope to the narrowest. Checksums are SHA-256 of the canonical form.
package revision

import (
	"fmt"
	"regexp"
	"strings"
)

// Kind is how wide a scope is.
type Kind string

// The kinds of scopes, widest first. This is the order of merging: what a later one says replaces what an earlier one says.
const (
	FleetKind   Kind = "fleet"
	RegionKind  Kind = "region"
	ZoneKind    Kind = "zone"
	ServiceKind Kind = "service"
	ProxyKind   Kind = "proxy"
)

// Scope names the proxies that a document is for. Its text is "fleet", or the kind and a name: "zone:eu-1".
type Scope struct {
	Kind Kind
	Name string // empty for the fleet's
}

// Fleet is the scope of all proxies.
var FleetScope = Scope{Kind: FleetKind}

// nameForm bounds the names of scopes and proxies, so that a scope is one word on a command line and in a path.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// ParseScope reads a scope's text.
func ParseScope(text string) (Scope, error) {
	kind, name, named := strings.Cut(text, ":")
	switch scope := (Scope{Kind(kind), name}); scope.Kind {
	case FleetKind:
		if !named {
			return scope, nil
		}
	case RegionKind, ZoneKind, ServiceKind, ProxyKind:
		if nameForm.MatchString(name) {
			return scope, nil
		}
	}
	return Scope{}, fmt.Errorf("scope %q is unknown: fleet, region:NAME, zone:NAME, service:NAME or proxy:NAME", text)
}

// String is the scope's text.
func (s Scope) String() string {
	if s.Name == "" {
		return string(s.Kind)
	}
	return string(s.Kind) + ":" + s.Name
}

// MarshalText gives the scope's text.
func (s Scope) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the scope's text.
func (s *Scope) UnmarshalText(text []byte) (err error) {
	*s, err = ParseScope(string(text))
	return err
}

// Identity says which proxy one is and where it stands. Region, zone and service may be empty: it lies in none then.
type Identity struct {
	Fleet   string `json:"fleet"`
	Proxy   string `json:"proxy"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Service string `json:"service,omitempty"`
}

// Check tells what is wrong with an identity, if anything.
func (i Identity) Check() error {
	for _, field := range []struct {
		key, value string
		needed     bool
	}{
		{"fleet", i.Fleet, true}, {"proxy", i.Proxy, true},
		{"region", i.Region, false}, {"zone", i.Zone, false}, {"service", i.Service, false},
	} {
		if field.value == "" && !field.needed {
			continue
		}
		if !nameForm.MatchString(field.value) {
			return fmt.Errorf("%s %q is not a name of letters, digits, dots, dashes and underscores", field.key, field.value)
		}
	}
	return nil
}

// Scopes are those that the proxy lies in, in the order of merging.
func (i Identity) Scopes() []Scope {
	scopes := []Scope{FleetScope}
	for _, scope := range []Scope{{RegionKind, i.Region}, {ZoneKind, i.Zone}, {ServiceKind, i.Service}, {ProxyKind, i.Proxy}} {
		if scope.Name != "" {
			scopes = append(scopes, scope)
		}
	}
	return scopes
}
