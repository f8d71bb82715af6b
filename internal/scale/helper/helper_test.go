package helper

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// answers are those of a helper to a text.
func answers(t *testing.T, handle func(*Request) (*Response, error), text string) (all []Response, err error) {
	t.Helper()
	var out bytes.Buffer
	err = serve(strings.NewReader(text), &out, handle)
	for decoder := json.NewDecoder(&out); decoder.More(); {
		var a Response
		if err := decoder.Decode(&a); err != nil {
			t.Fatal(err)
		}
		all = append(all, a)
	}
	return all, err
}

func TestRequestsThatMakeNoSenseAreAnsweredInOneLine(t *testing.T) {
	d, h := &discovery{}, &hollow{}
	defer d.close()
	for _, c := range []struct {
		text   string
		handle func(*Request) (*Response, error)
	}{
		{`{"traffic": true}`, d.handle}, {`{"discover": {"agents": [{"list": 3}]}}`, d.handle},
		{`{"traffic": true}`, d.handle}, // what failed to start is not there
		{`{}`, h.handle}, {`{"stop": [5]}`, h.handle}, {`{"start": {"launches": [{"name": "x"}]}}`, h.handle},
		{`{"reload": {"proxies": [1]}}`, h.handle},
	} {
		all, err := answers(t, c.handle, c.text)
		if err != nil || len(all) != 1 || all[0].Error == "" || strings.Contains(all[0].Error, "\n") {
			t.Errorf("%s: %+v, %v", c.text, all, err)
		}
	}
}

func TestAHelperEndsWithItsInput(t *testing.T) {
	if all, err := answers(t, (&hollow{}).handle, ""); err != nil || len(all) != 0 {
		t.Errorf("%v, %v", all, err)
	}
	if _, err := answers(t, (&hollow{}).handle, "no JSON"); err == nil {
		t.Error("what is no JSON was read")
	}
}
