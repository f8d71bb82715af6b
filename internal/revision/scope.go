// Package revision defines the types of configuration data exchanged between control replicas and proxies: scopes, numbered
// revisions, documents and the messages of a watch.
//
// It uses no I/O and no clock. Documents are JSON objects; a proxy's configuration is the documents of all scopes that it belongs
// to, merged by RFC 7396 from the widest scope to the narrowest. Checksums are SHA-256 of the canonical form.
package revision

import (
	"fmt"
	"regexp"
	"strings"
)

// Kind is the width of a scope.
type Kind string

// The kinds of scopes, widest first. This is the merge order: narrower scopes take precedence.
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
	Name string // empty for the fleet
}

// FleetScope is the scope of all proxies.
var FleetScope = Scope{Kind: FleetKind}

// namePattern restricts the names of scopes and proxies, so that a scope is one word on a command line and in a path.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// ParseScope parses a scope's text.
func ParseScope(text string) (Scope, error) {
	kind, name, named := strings.Cut(text, ":")
	switch scope := (Scope{Kind(kind), name}); scope.Kind {
	case FleetKind:
		if !named {
			return scope, nil
		}
	case RegionKind, ZoneKind, ServiceKind, ProxyKind:
		if namePattern.MatchString(name) {
			return scope, nil
		}
	}
	return Scope{}, fmt.Errorf("scope %q is unknown: fleet, region:NAME, zone:NAME, service:NAME or proxy:NAME", text)
}

// String returns the scope's text.
func (s Scope) String() string {
	if s.Name == "" {
		return string(s.Kind)
	}
	return string(s.Kind) + ":" + s.Name
}

// MarshalText returns the scope's text.
func (s Scope) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a scope's text.
func (s *Scope) UnmarshalText(text []byte) (err error) {
	*s, err = ParseScope(string(text))
	return err
}

// Identity identifies a proxy and the scopes it belongs to. Region, zone and service may be empty.
type Identity struct {
	Fleet   string `json:"fleet"`
	Proxy   string `json:"proxy"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Service string `json:"service,omitempty"`
}

// Check returns an error for an invalid identity.
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
		if !namePattern.MatchString(field.value) {
			return fmt.Errorf("%s %q is not a name of letters, digits, dots, dashes and underscores", field.key, field.value)
		}
	}
	return nil
}

// Scopes returns the scopes that the proxy belongs to, in merge order.
func (i Identity) Scopes() []Scope {
	scopes := []Scope{FleetScope}
	for _, scope := range []Scope{{RegionKind, i.Region}, {ZoneKind, i.Zone}, {ServiceKind, i.Service}, {ProxyKind, i.Proxy}} {
		if scope.Name != "" {
			scopes = append(scopes, scope)
		}
	}
	return scopes
}
