// Package settings decodes the settings object of an instance, on the bench and on sockets, into the arguments of balance.New and
// the few values that a proxy needs. No other package knows the object's keys. It makes no decisions and keeps no values.
package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"sandpass/balance"
)

// document is the part of the settings that the balancer needs. Every pointer must be present.
type document struct {
	OwnIndex  *int    `json:"me"`
	PeerCount *int    `json:"siblings"`
	Tier      *int    `json:"tier"`
	Discovery *string `json:"discovery"`
	Limits    *struct {
		MaxRelays        *int     `json:"max_relays"`
		Hedges           *bool    `json:"second_copies"`
		CancelRelays     *bool    `json:"cancel"`
		RetryAfter       *bool    `json:"retry_after"`
		MaxRetryAfter    *float64 `json:"max_retry_after_ms"`
		PeerMessages     bool     `json:"peers"`
		MaxUnreadAnswers int      `json:"response_room"`
	} `json:"limits"`
	LoadInfo *struct {
		Fields []string `json:"fields"`
		How    *string  `json:"how"`
	} `json:"load_info"`
	OverageUtility *float64 `json:"overage_utility"`
	Safety         *struct {
		ColdShare        *float64 `json:"cold_share"`
		ColdMs           *float64 `json:"cold_ms"`
		OverloadMultiple *float64 `json:"fall_multiple"`
		// Optional rules and tolerances; absent or 0 means off.
		FreeResends   float64 `json:"free_resends"`
		ResendRatio   float64 `json:"resend_ratio"`
		BudgetWindow  float64 `json:"counted_over_ms"`
		DeadlineError float64 `json:"deadline_error_ms"`
		StartError    float64 `json:"start_drift_ms"`
	} `json:"safety"`
	Customers []struct {
		Allowance *float64 `json:"allowance_per_s"`
	} `json:"realms"`
	TickMs *float64 `json:"tick_ms"`
	// Optional keys. Their zero values are the behavior before the keys existed: one zone, no messages, no keys.
	Zone       int                `json:"zone"`
	Prices     map[string]float64 `json:"prices"` // only cross_zone is used, but a negative price is an error
	FamilyInfo struct {
		KeyAffinity bool `json:"warm_keys"`
	} `json:"family_info"`
	Verbs []struct {
		Effect      *string  `json:"effect"`
		Scope       *string  `json:"key_scope"`
		DedupWindow *float64 `json:"window_ms"`
		Goal        *float64 `json:"response_goal_ms"`
		TimeLimit   *float64 `json:"time_limit_ms"`
		Utility     *float64 `json:"utility"`
		LateUtility *float64 `json:"overdue_utility"`
		Stream      *bool    `json:"stream"`
	} `json:"verbs"`
}

const maxBudgetWindowMs = 600_000 // bounds the memory that a budget's window takes

// effects maps the values of effect.
var effects = map[string]balance.Effect{
	"idempotent": balance.Pure, "deduplicated": balance.Receipted, "at_most_once": balance.Effectful,
}

// scopes maps the values of key_scope.
var scopes = map[string]balance.Scope{
	"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell,
}

// firstNegative returns the path of the first number below 0, empty for none. No setting may be negative.
func firstNegative(v reflect.Value, path string) string {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return firstNegative(v.Elem(), path)
		}
	case reflect.Float64, reflect.Int:
		if v.CanFloat() && v.Float() < 0 || v.CanInt() && v.Int() < 0 {
			return path
		}
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if m := firstNegative(v.Field(i), strings.TrimPrefix(path+"."+name, ".")); m != "" {
				return m
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if m := firstNegative(v.Index(i), fmt.Sprintf("%s[%d]", path, i)); m != "" {
				return m
			}
		}
	case reflect.Map:
		names := v.MapKeys()
		slices.SortFunc(names, func(x, y reflect.Value) int { return strings.Compare(x.String(), y.String()) })
		for _, name := range names {
			if m := firstNegative(v.MapIndex(name), path+"."+name.String()); m != "" {
				return m
			}
		}
	}
	return ""
}

// firstMissing returns the path of the first required key that is absent, empty for none.
func firstMissing(v reflect.Value, path string) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return path
		}
		return firstMissing(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if m := firstMissing(v.Field(i), strings.TrimPrefix(path+"."+name, ".")); m != "" {
				return m
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if m := firstMissing(v.Index(i), fmt.Sprintf("%s[%d]", path, i)); m != "" {
				return m
			}
		}
	}
	return ""
}

// NewBalancer creates an instance from its settings and returns the names of the fields in its load reports.
func NewBalancer(host balance.Host, seed uint64, now float64, text []byte) (*balance.Balancer, []string, error) {
	b := balance.New(host, seed, now)
	fields, err := Apply(b, now, text, nil, nil, -1)
	return b, fields, err
}

// Apply changes an instance to other settings, or returns an error and changes nothing. previousVerbs and previousCustomers give
// the index that each verb and customer had before, -1 for a new one; both are nil if there were none. zone is the proxy's
// number of its own zone, -1 to use the index in the settings.
func Apply(b *balance.Balancer, now float64, text []byte, previousVerbs, previousCustomers []int, zone int) ([]string, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if m := firstMissing(reflect.ValueOf(doc), ""); m != "" {
		return nil, fmt.Errorf("settings: %s is missing", m)
	}
	if len(doc.Verbs) == 0 {
		return nil, fmt.Errorf("settings: verbs is missing")
	}
	if m := firstNegative(reflect.ValueOf(doc), ""); m != "" {
		return nil, fmt.Errorf("settings: %s is below 0", m)
	}
	previousIndex := func(previous []int, i int) int {
		if i < len(previous) {
			return previous[i]
		}
		return -1
	}
	if s := doc.Safety; s.BudgetWindow == 0 && s.FreeResends+s.ResendRatio > 0 {
		return nil, fmt.Errorf("settings: safety.counted_over_ms is missing, free_resends and resend_ratio require it")
	} else if s.BudgetWindow > maxBudgetWindowMs {
		return nil, fmt.Errorf("settings: safety.counted_over_ms is over %d", maxBudgetWindowMs)
	}
	var verbs []balance.Verb
	for i, v := range doc.Verbs {
		effect, ok := effects[*v.Effect]
		if !ok {
			return nil, fmt.Errorf("settings: verbs[%d].effect %q is unknown", i, *v.Effect)
		}
		scope, ok := scopes[*v.Scope]
		if !ok && effect == balance.Receipted {
			return nil, fmt.Errorf("settings: verbs[%d].key_scope %q is unknown", i, *v.Scope)
		}
		verbs = append(verbs, balance.Verb{
			Effect: effect, Scope: scope, DedupWindow: *v.DedupWindow / 1000, Goal: *v.Goal / 1000,
			TimeLimit: *v.TimeLimit / 1000, Utility: *v.Utility, LateUtility: *v.LateUtility, Stream: *v.Stream,
			PreviousIndex: previousIndex(previousVerbs, i),
		})
	}
	var customers []balance.Customer
	for i, r := range doc.Customers {
		customers = append(customers, balance.Customer{
			Allowance: *r.Allowance, PreviousIndex: previousIndex(previousCustomers, i),
		})
	}
	limits := balance.Limits{
		MaxRelays: *doc.Limits.MaxRelays, Hedges: *doc.Limits.Hedges, CancelRelays: *doc.Limits.CancelRelays,
		PeerMessages: doc.Limits.PeerMessages, KeyAffinity: doc.FamilyInfo.KeyAffinity, CrossZonePriced: doc.Prices["cross_zone"] > 0,
		MaxUnreadAnswers: doc.Limits.MaxUnreadAnswers, DeadlineError: doc.Safety.DeadlineError / 1000,
		ExtraRelays: balance.RelayBudget{
			Free: doc.Safety.FreeResends, PerCommand: doc.Safety.ResendRatio, Span: doc.Safety.BudgetWindow / 1000,
		},
	}
	if *doc.Limits.RetryAfter {
		limits.MaxRetryAfter = *doc.Limits.MaxRetryAfter / 1000
	}
	cold := balance.ColdStart{
		InitialCapacity: *doc.Safety.ColdShare, WarmUp: *doc.Safety.ColdMs / 1000, OverloadMultiple: *doc.Safety.OverloadMultiple,
		StartError: doc.Safety.StartError / 1000,
	}
	if zone < 0 {
		zone = doc.Zone
	}
	place := balance.Placement{Index: *doc.OwnIndex, Instances: *doc.PeerCount, Tier: *doc.Tier, Zone: zone}
	b.Configure(now, *doc.TickMs/1000, place, verbs, customers, *doc.OverageUtility, limits, cold, *doc.Discovery == "on_request")
	return doc.LoadInfo.Fields, nil
}

// Verb is the part of a verb's settings that a proxy needs.
type Verb struct {
	Name      string
	TimeLimit float64 // seconds
	Receipted bool    // a request carries a key by which a duplicate is recognized
	Pure      bool    // may be repeated
	Grouped   bool    // duplicates are recognized only within a group of backends
}

// Names are the names in the settings; the balancer uses their indexes.
type Names struct {
	Verbs     []Verb
	Customers []string
	Zones     []string
	OwnZone   int // index in Zones
}

// NetworkSettings bounds a proxy's connections and describes its place among its peers.
type NetworkSettings struct {
	ConnectTimeout     float64 // seconds within which a connection to a backend must be established
	BackendIdleTimeout float64 // seconds of idleness after which a backend closes a connection
	MaxOpenRequests    int     // concurrently open requests
	MaxRetryAfter      float64 // seconds, upper bound of the Retry-After sent to clients; 0: none is sent
	PeerMessages       bool
	OwnIndex           int // index among the peers
	PeerCount          int
	KeyAffinity        bool // backends do less work for a key that their cell has handled recently
}

// ForProxy decodes what a proxy on sockets needs in addition to the Balancer.
func ForProxy(text []byte) (names Names, network NetworkSettings, err error) {
	var doc struct {
		Zones      *[]string `json:"azs"`
		Zone       int       `json:"zone"`
		FamilyInfo struct {
			KeyAffinity bool `json:"warm_keys"`
		} `json:"family_info"`
		OwnIndex  *int `json:"me"`
		PeerCount *int `json:"siblings"`
		Limits    *struct {
			PeerMessages   bool     `json:"peers"`
			ConnectTimeout *float64 `json:"connect_timeout_ms"`
			ConnIdle       *float64 `json:"conn_idle_ms"`
			MaxOpen        *int     `json:"max_open"`
			RetryAfter     bool     `json:"retry_after"`
			MaxRetryAfter  float64  `json:"max_retry_after_ms"`
		} `json:"limits"`
		Customers []struct {
			Name *string `json:"name"`
		} `json:"realms"`
		Verbs []struct {
			Name      *string  `json:"name"`
			Effect    *string  `json:"effect"`
			TimeLimit *float64 `json:"time_limit_ms"`
			Scope     string   `json:"key_scope"`
		} `json:"verbs"`
	}
	if err := json.Unmarshal(text, &doc); err != nil {
		return names, network, fmt.Errorf("settings: %w", err)
	}
	if m := firstMissing(reflect.ValueOf(doc), ""); m != "" {
		return names, network, fmt.Errorf("settings: %s is missing", m)
	}
	for _, v := range doc.Verbs {
		effect := effects[*v.Effect]
		names.Verbs = append(names.Verbs, Verb{Name: *v.Name, TimeLimit: *v.TimeLimit / 1000, Receipted: effect == balance.Receipted,
			Pure: effect == balance.Pure, Grouped: effect == balance.Receipted && scopes[v.Scope] != balance.ScopeAll})
	}
	for _, r := range doc.Customers {
		names.Customers = append(names.Customers, *r.Name)
	}
	if doc.Zone < 0 || doc.Zone > 0 && doc.Zone >= len(*doc.Zones) {
		return names, network, fmt.Errorf("settings: zone %d is not one of %d azs", doc.Zone, len(*doc.Zones))
	}
	names.Zones, names.OwnZone = *doc.Zones, doc.Zone
	network = NetworkSettings{ConnectTimeout: *doc.Limits.ConnectTimeout / 1000,
		BackendIdleTimeout: *doc.Limits.ConnIdle / 1000, MaxOpenRequests: *doc.Limits.MaxOpen,
		PeerMessages: doc.Limits.PeerMessages, OwnIndex: *doc.OwnIndex, PeerCount: *doc.PeerCount,
		KeyAffinity: doc.FamilyInfo.KeyAffinity}
	if doc.Limits.RetryAfter {
		network.MaxRetryAfter = doc.Limits.MaxRetryAfter / 1000
	}
	return names, network, nil
}
