package helper

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// responses returns the responses of a helper to the requests in text.
func responses(t *testing.T, handle func(*Request) (*Response, error), text string) (all []Response, err error) {
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

func TestInvalidRequestsGetOneLineErrors(t *testing.T) {
	d, h := &discoveryHelper{}, &inProcessHelper{}
	defer d.close()
	for _, c := range []struct {
		text   string
		handle func(*Request) (*Response, error)
	}{
		{`{"traffic": true}`, d.handle}, {`{"discover": {"agents": [{"list": 3}]}}`, d.handle},
		{`{"traffic": true}`, d.handle}, // a stand-in that failed to start is not kept
		{`{}`, h.handle}, {`{"stop": [5]}`, h.handle}, {`{"start": {"launches": [{"name": "x"}]}}`, h.handle},
		{`{"reload": {"proxies": [1]}}`, h.handle},
	} {
		all, err := responses(t, c.handle, c.text)
		if err != nil || len(all) != 1 || all[0].Error == "" || strings.Contains(all[0].Error, "\n") {
			t.Errorf("%s: %+v, %v", c.text, all, err)
		}
	}
}

func TestHelperEndsWithItsInput(t *testing.T) {
	if all, err := responses(t, (&inProcessHelper{}).handle, ""); err != nil || len(all) != 0 {
		t.Errorf("%v, %v", all, err)
	}
	if _, err := responses(t, (&inProcessHelper{}).handle, "no JSON"); err == nil {
		t.Error("no error for input that is not JSON")
	}
}
