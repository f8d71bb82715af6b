package revision

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestParseScope(t *testing.T) {
	for _, text := range []string{"fleet", "region:eu", "zone:eu-1", "service:cart", "proxy:cart-17.a"} {
		scope, err := ParseScope(text)
		if err != nil || scope.String() != text {
			t.Errorf("%q: %v, %v", text, scope, err)
		}
	}
	for _, text := range []string{"", "fleet:x", "zone", "zone:", "zone:a b", "rack:1", "zone:../x",
		"zone:" + strings.Repeat("a", 129)} {
		if scope, err := ParseScope(text); err == nil {
			t.Errorf("%q is parsed as %v", text, scope)
		}
	}
}

func TestErrorsOfInvalidDocuments(t *testing.T) {
	for text, want := range map[string]string{
		"{\n \"a\": }":     "line 2, column",
		"{\"a\": 1":        "breaks off",
		"[1]":              "not an object",
		"null":             "not an object",
		"{} {}":            "something follows",
		`{"a":{"b":null}}`: "a.b is null",
		"":                 "breaks off",
		`{"a":[{"c":null}]}` + strings.Repeat(" ", 3):               "a[0].c is null",
		strings.Repeat(`{"a":`, 70) + "1" + strings.Repeat("}", 70): "nested",
		strings.Repeat(" ", MaxDocumentBytes+1):                     "are allowed",
	} {
		_, err := Canonicalize([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q: %v, wanted %q", text, err, want)
		}
	}
}

func TestNarrowerScopesTakePrecedence(t *testing.T) {
	identity := Identity{Fleet: "shop", Proxy: "p1", Region: "eu", Zone: "a", Service: "cart"}
	documents := []ScopeDocument{
		{Scope{ProxyKind, "p1"}, 4, Document(`{"x":4}`)},
		{FleetScope, 1, Document(`{"s":{"a":1,"b":1},"x":1}`)},
		{Scope{ServiceKind, "cart"}, 3, Document(`{"s":{"b":3}}`)},
		{Scope{ServiceKind, "other"}, 9, Document(`{"s":{"b":9}}`)},
	}
	effective, err := EffectiveDocument(identity, documents)
	if want := `{"s":{"a":1,"b":3},"x":4}`; err != nil || string(effective) != want {
		t.Errorf("%s, %v; wanted %s", effective, err, want)
	}
}

// object generates JSON objects without nulls.
func object() *rapid.Generator[map[string]any] {
	var value *rapid.Generator[any]
	key := rapid.SampledFrom([]string{"a", "b", "c", "limits"})
	value = rapid.Custom(func(t *rapid.T) any {
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0:
			return rapid.MapOfN(key, rapid.Deferred(func() *rapid.Generator[any] { return value }), 0, 3).Draw(t, "object")
		case 1:
			return rapid.SliceOfN(rapid.IntRange(0, 9), 0, 3).Draw(t, "list")
		case 2:
			return rapid.String().Draw(t, "text")
		case 3:
			return rapid.Bool().Draw(t, "flag")
		}
		return rapid.Float64Range(-1e9, 1e9).Draw(t, "number")
	})
	return rapid.MapOfN(key, value, 0, 4)
}

func TestDiffAndApplyPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, err := Encode(object().Draw(t, "from"))
		if err != nil {
			t.Fatal(err)
		}
		to, err := Encode(object().Draw(t, "to"))
		if err != nil {
			t.Fatal(err)
		}
		if to, err = Canonicalize(to); err != nil {
			t.Fatal(err)
		}
		patch, err := Diff(from, to)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ApplyPatch(from, patch)
		if err != nil || string(got) != string(to) {
			t.Fatalf("%s and %s give %s, %v; wanted %s", from, patch, got, err, to)
		}
	})
}

func FuzzCanonical(f *testing.F) {
	f.Add([]byte(`{"a":1e400,"b":"<&>"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := Canonicalize(text)
		if err != nil {
			return
		}
		again, err := Canonicalize(document)
		if err != nil || string(again) != string(document) {
			t.Fatalf("%q is not canonical: %q, %v", document, again, err)
		}
	})
}
