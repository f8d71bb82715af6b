// Package settings decodes the settings object that an instance is given, on the bench and on sockets, into the
// arguments of balance.New and the few figures that a proxy needs. The object's keys are known here alone. It must
// never decide anything or keep a figure after it has handed it over.
package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"sandpass/balance"
)

// document is the part of the settings that the module needs. Every pointer must be present.
type document struct {
	Me        *int    `json:"me"`
	Siblings  *int    `json:"siblings"`
	Tier      *int    `json:"tier"`
	Discovery *string `json:"discovery"`
	Limits    *struct {
		Relays       *int     `json:"max_relays"`
		SecondCopies *bool    `json:"second_copies"`
		Cancel       *bool    `json:"cancel"`
		RetryAfter   *bool    `json:"retry_after"`
		MaxAfter     *float64 `json:"max_retry_after_ms"`
		Peers        bool     `json:"peers"`
		Answers      int      `json:"response_room"`
	} `json:"limits"`
	LoadInfo *struct {
		Fields []string `json:"fields"`
		How    *string  `json:"how"`
	} `json:"load_info"`
	Overage *float64 `json:"overage_utility"`
	Safety  *struct {
		ColdShare    *float64 `json:"cold_share"`
		ColdMs       *float64 `json:"cold_ms"`
		FallMultiple *float64 `json:"fall_multiple"`
		// A rule, or a doubt, that stands only where it is stated.
		FreeResends float64 `json:"free_resends"`
		ResendRatio float64 `json:"resend_ratio"`
		CountedOver float64 `json:"counted_over_ms"`
		LimitError  float64 `json:"deadline_error_ms"`
		StartDrift  float64 `json:"start_drift_ms"`
	} `json:"safety"`
	Realms []struct {
		Allowance *float64 `json:"allowance_per_s"`
	} `json:"realms"`
	TickMs *float64 `json:"tick_ms"`
	// What may be absent, and is then as it was before these were read: one zone, no messages, no keys.
	Zone   int                `json:"zone"`
	Prices map[string]float64 `json:"prices"` // one is used, but a file with any below 0 is no good
	Family struct {
		Keys bool `json:"warm_keys"`
	} `json:"family_info"`
	Verbs []struct {
		Effect  *string  `json:"effect"`
		Scope   *string  `json:"key_scope"`
		Window  *float64 `json:"window_ms"`
		Goal    *float64 `json:"response_goal_ms"`
		Limit   *float64 `json:"time_limit_ms"`
		Utility *float64 `json:"utility"`
		Late    *float64 `json:"overdue_utility"`
		Stream  *bool    `json:"stream"`
	} `json:"verbs"`
}

const longestWindow = 600_000 // milliseconds of a budget's window: what is remembered of it has to have an end

var effects = map[string]balance.Effect{
	"idempotent": balance.Pure, "deduplicated": balance.Receipted, "at_most_once": balance.Effectful,
}

var scopes = map[string]balance.Scope{
	"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell,
}

// negative names the first figure that is below 0: none of these may be.
func negative(v reflect.Value, path string) string {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return negative(v.Elem(), path)
		}
	case reflect.Float64, reflect.Int:
		if v.CanFloat() && v.Float() < 0 || v.CanInt() && v.Int() < 0 {
			return path
		}
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if m := negative(v.Field(i), strings.TrimPrefix(path+"."+name, ".")); m != "" {
				return m
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if m := negative(v.Index(i), fmt.Sprintf("%s[%d]", path, i)); m != "" {
				return m
			}
		}
	case reflect.Map:
		names := v.MapKeys()
		slices.SortFunc(names, func(x, y reflect.Value) int { return strings.Compare(x.String(), y.String()) })
		for _, name := range names {
			if m := negative(v.MapIndex(name), path+"."+name.String()); m != "" {
				return m
			}
		}
	}
	return ""
}

// missing names the first needed figure that is absent.
func missing(v reflect.Value, path string) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return path
		}
		return missing(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if m := missing(v.Field(i), strings.TrimPrefix(path+"."+name, ".")); m != "" {
				return m
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if m := missing(v.Index(i), fmt.Sprintf("%s[%d]", path, i)); m != "" {
				return m
			}
		}
	}
	return ""
}

// NewBalancer starts an instance from its settings and names the fields of its load reports.
func NewBalancer(h balance.Host, seed uint64, now float64, text []byte) (*balance.Balancer, []string, error) {
	b := balance.New(h, seed, now)
	fields, err := Apply(b, now, text, nil, nil, -1)
	return b, fields, err
}

// Apply has an instance go by other settings from now on, or tells what is wrong with them and changes nothing. The
// index that each verb and tenant had before, or -1, may be left out where there was nothing before; zone is the
// proxy's number for the own one, -1 if it is the index in the settings.
func Apply(b *balance.Balancer, now float64, text []byte, verbsWere, tenantsWere []int, zone int) ([]string, error) {
	var l document
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if m := missing(reflect.ValueOf(l), ""); m != "" {
		return nil, fmt.Errorf("settings: %s is missing", m)
	}
	if len(l.Verbs) == 0 {
		return nil, fmt.Errorf("settings: verbs is missing")
	}
	if m := negative(reflect.ValueOf(l), ""); m != "" {
		return nil, fmt.Errorf("settings: %s is below 0", m)
	}
	was := func(were []int, i int) int {
		if i < len(were) {
			return were[i]
		}
		return -1
	}
	if s := l.Safety; s.CountedOver == 0 && s.FreeResends+s.ResendRatio > 0 {
		return nil, fmt.Errorf("settings: safety.counted_over_ms is missing, a budget of further relays needs it")
	} else if s.CountedOver > longestWindow {
		return nil, fmt.Errorf("settings: safety.counted_over_ms is over %d", longestWindow)
	}
	var verbs []balance.Verb
	for i, v := range l.Verbs {
		effect, ok := effects[*v.Effect]
		if !ok {
			return nil, fmt.Errorf("settings: verbs[%d].effect %q is unknown", i, *v.Effect)
		}
		scope, ok := scopes[*v.Scope]
		if !ok && effect == balance.Receipted {
			return nil, fmt.Errorf("settings: verbs[%d].key_scope %q is unknown", i, *v.Scope)
		}
		verbs = append(verbs, balance.Verb{
			Effect: effect, Scope: scope, DedupWindow: *v.Window / 1000, Goal: *v.Goal / 1000,
			TimeLimit: *v.Limit / 1000, Utility: *v.Utility, LateUtility: *v.Late, Stream: *v.Stream, PreviousIndex: was(verbsWere, i),
		})
	}
	var customers []balance.Customer
	for i, r := range l.Realms {
		customers = append(customers, balance.Customer{Allowance: *r.Allowance, PreviousIndex: was(tenantsWere, i)})
	}
	limits := balance.Limits{
		MaxRelays: *l.Limits.Relays, SecondCopies: *l.Limits.SecondCopies, CancelRelays: *l.Limits.Cancel,
		PeerMessages: l.Limits.Peers, KeyAffinity: l.Family.Keys, CrossZonePriced: l.Prices["cross_zone"] > 0,
		MaxUnreadAnswers: l.Limits.Answers, DeadlineError: l.Safety.LimitError / 1000,
		ExtraRelays: balance.RelayBudget{Free: l.Safety.FreeResends, PerCommand: l.Safety.ResendRatio, Span: l.Safety.CountedOver / 1000},
	}
	if *l.Limits.RetryAfter {
		limits.MaxRetryAfter = *l.Limits.MaxAfter / 1000
	}
	cold := balance.ColdStart{
		InitialCapacity: *l.Safety.ColdShare, WarmUp: *l.Safety.ColdMs / 1000, OverloadMultiple: *l.Safety.FallMultiple,
		StartError: l.Safety.StartDrift / 1000,
	}
	if zone < 0 {
		zone = l.Zone
	}
	place := balance.Placement{Index: *l.Me, Instances: *l.Siblings, Tier: *l.Tier, Zone: zone}
	b.Configure(now, *l.TickMs/1000, place, verbs, customers, *l.Overage, limits, cold, *l.Discovery == "on_request")
	return l.LoadInfo.Fields, nil
}

// Verb is what a proxy needs to know of a request class.
type Verb struct {
	Name      string
	TimeLimit float64 // seconds
	Receipted bool    // a request carries a key by which a repeat is recognized
	Pure      bool    // may be repeated
}

// Names are what the settings call things; the module knows these by their indexes.
type Names struct {
	Verbs     []Verb
	Customers []string
	Zones     []string
	OwnZone   int // its own, an index of Zones
}

// Links bounds a proxy's connections, and says whether messages go to peers.
type NetworkSettings struct {
	ConnectTimeout     float64 // seconds in which a connection to a backend must be up
	BackendIdleTimeout float64 // seconds of idleness after which a backend closes one
	MaxOpenRequests    int     // requests that may be open at once
	MaxRetryAfter      float64 // seconds, the longest wait that clients can be told, 0 where they are told nothing
	PeerMessages       bool
	OwnIndex           int // its number among the peers
	PeerCount          int
	WarmKeys           bool // backends do less for a key that their cell has handled lately
}

// ForProxy decodes what a proxy on sockets needs beside the Balancer.
func ForProxy(text []byte) (names Names, links NetworkSettings, err error) {
	var l struct {
		Zones  *[]string `json:"azs"`
		Zone   int       `json:"zone"`
		Family struct {
			Keys bool `json:"warm_keys"`
		} `json:"family_info"`
		Me       *int `json:"me"`
		Siblings *int `json:"siblings"`
		Limits   *struct {
			Peers   bool     `json:"peers"`
			Connect *float64 `json:"connect_timeout_ms"`
			Idle    *float64 `json:"conn_idle_ms"`
			Open    *int     `json:"max_open"`
			Retry   bool     `json:"retry_after"`
			Most    float64  `json:"max_retry_after_ms"`
		} `json:"limits"`
		Realms []struct {
			Name *string `json:"name"`
		} `json:"realms"`
		Verbs []struct {
			Name   *string  `json:"name"`
			Effect *string  `json:"effect"`
			Limit  *float64 `json:"time_limit_ms"`
		} `json:"verbs"`
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return names, links, fmt.Errorf("settings: %w", err)
	}
	if m := missing(reflect.ValueOf(l), ""); m != "" {
		return names, links, fmt.Errorf("settings: %s is missing", m)
	}
	for _, v := range l.Verbs {
		names.Verbs = append(names.Verbs, Verb{*v.Name, *v.Limit / 1000,
			effects[*v.Effect] == balance.Receipted, effects[*v.Effect] == balance.Pure})
	}
	for _, r := range l.Realms {
		names.Customers = append(names.Customers, *r.Name)
	}
	if l.Zone < 0 || l.Zone > 0 && l.Zone >= len(*l.Zones) {
		return names, links, fmt.Errorf("settings: zone %d is not one of %d azs", l.Zone, len(*l.Zones))
	}
	names.Zones, names.OwnZone = *l.Zones, l.Zone
	links = NetworkSettings{ConnectTimeout: *l.Limits.Connect / 1000, BackendIdleTimeout: *l.Limits.Idle / 1000, MaxOpenRequests: *l.Limits.Open,
		PeerMessages: l.Limits.Peers, OwnIndex: *l.Me, PeerCount: *l.Siblings, WarmKeys: l.Family.Keys}
	if l.Limits.Retry {
		links.MaxRetryAfter = l.Limits.Most / 1000
	}
	return names, links, nil
}
