package operator

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	f, err := Parse([]byte("[state]\nfolder = \"/tmp/x\"\nfleet = \"shop\"\n"))
	if err != nil || f.State.Folder != "/tmp/x" || f.State.SaveInterval != 1 {
		t.Errorf("%+v %v", f, err)
	}
	f, err = Parse([]byte("[control]\nreplicas = [\"127.0.0.1:1\", \"[::1]:2\"]\nfleet = \"shop\"\nzone = \"eu-1\"\n"))
	if err != nil || len(f.Control.Addresses()) != 2 || f.Control.Identity("p").Zone != "eu-1" {
		t.Errorf("%+v %v", f, err)
	}
	if f, err := Parse(nil); err != nil || len(f.Control.Replicas) > 0 || f.State.Folder != "" {
		t.Errorf("an empty file turns something on: %+v %v", f, err)
	}
}

func TestDeployedExample(t *testing.T) {
	if _, err := Read("../../deploy/sandpass.toml"); err != nil {
		t.Error(err)
	}
}

func TestErrorsArePositionedAndOneLine(t *testing.T) {
	const oneReplica = "[control]\nreplicas = [\"127.0.0.1:1\"]\n"
	for text, want := range map[string]string{
		"[state]\nfolder = \"x\"\n":                                                 "state.fleet is missing",
		"[state]\nfleet = \"x\"\n":                                                  "state.folder is missing",
		"[state]\nfolder = \"x\"\nfleet = \"y\"\nevery = -1\n":                      "state.every = -1 is not between 0.1 and 3600",
		"[state]\nfolder = \"x\"\nfleet = \"y\"\nevery = nan\n":                     "state.every = NaN",
		"[state]\nfoldr = \"x\"\n":                                                  "line 2, column 1: key state.foldr is unknown",
		"[state]\nfolder = 3\n":                                                     "line 2, column 10",
		"[control]\nfleet = \"x\"\n":                                                "control.replicas is missing",
		"[control]\nreplica = []\n":                                                 "line 2, column 1: key control.replica is unknown",
		oneReplica:                                                                  "control.fleet is missing",
		oneReplica + "fleet = \"x\"\nzone = \"a b\"\n":                              "control: zone \"a b\" is not a name",
		oneReplica + "fleet = \"x\"\n[state]\nfolder = \"f\"\nfleet = \"y\"\n":      "control.fleet \"x\" differs from state.fleet \"y\"",
		"[control]\nreplicas = [\"here\"]\nfleet = \"x\"\n":                         "control.replicas[0]",
		"[control]\nreplicas = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\nfleet = \"x\"\n": "control.replicas[1]: duplicate address 127.0.0.1:1",
		"[state\n": "line 1",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
