package fleet

import (
	"reflect"
	"strings"
	"testing"
)

func TestDefaultIsOperatorsSize(t *testing.T) {
	f := Generate(Default())
	if len(f.Proxies) != 560 || len(f.Services) != 51 || len(f.Zones) != 11 || f.Depth() != 11 {
		t.Errorf("%d proxies, %d services, %d zones, depth %d", len(f.Proxies), len(f.Services), len(f.Zones), f.Depth())
	}
	calls := 0.0
	for _, s := range f.Services {
		if len(s.Backends) == 0 {
			t.Errorf("%s has no backend", s.Name)
		}
		calls += s.CallsPerSecond
	}
	if calls < 87_999 || calls > 88_001 {
		t.Errorf("%.1f calls per second, want 88,000", calls)
	}
	if n := len(f.ProxiesInZone(0)); n != 51 {
		t.Errorf("%d proxies in zone 0, want 51", n)
	}
}

func TestFleetIsDeterminedBySeed(t *testing.T) {
	other := Default()
	other.Seed = 2
	if !reflect.DeepEqual(Generate(Default()), Generate(Default())) {
		t.Error("the same seed generated two different fleets")
	}
	if reflect.DeepEqual(Generate(Default()).Services, Generate(other).Services) {
		t.Error("another seed generated the same services")
	}
}

func TestGenerateAtEverySize(t *testing.T) {
	for _, n := range []int{1, 2, 11, 35, 70, 140, 280, 560, 1120} {
		s := Default().ScaledTo(n)
		if err := s.Validate(); err != nil && n >= 3 {
			t.Errorf("%d: %v", n, err)
		}
		if f := Generate(s); len(f.Proxies) != n {
			t.Errorf("%d proxies generated, want %d", len(f.Proxies), n)
		}
	}
}

func TestParseErrorsAreOneLineWithPosition(t *testing.T) {
	for text, want := range map[string]string{
		"proxies = 10\n  proxy = 3": "line 2, column 3: key proxy is unknown",
		"proxies = \"many\"":        "line 1, column",
		"proxies = 0":               "proxies = 0 is not between",
		"depth = 100":               "depth = 100 is not between",
		"calls_per_second = nan":    "calls_per_second = NaN is not between",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want one line with %q", text, err, want)
		}
	}
}
