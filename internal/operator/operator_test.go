package operator

import (
	"strings"
	"testing"
)

func TestWhatIsSaid(t *testing.T) {
	f, err := Parse([]byte("[state]\nfolder = \"/tmp/x\"\nfleet = \"shop\"\n"))
	if err != nil || f.State.Folder != "/tmp/x" || f.State.Every != 1 {
		t.Errorf("%+v %v", f, err)
	}
	if f, err := Parse(nil); err != nil || f.State.Folder != "" {
		t.Errorf("an empty file turns something on: %+v %v", f, err)
	}
}

func TestTheDeployedExampleIsGood(t *testing.T) {
	if _, err := Read("../../deploy/sandpass.toml"); err != nil {
		t.Error(err)
	}
}

func TestEachMistakeIsOneLineWithItsPlace(t *testing.T) {
	for text, want := range map[string]string{
		"[state]\nfolder = \"x\"\n":                             "state.fleet is missing",
		"[state]\nfleet = \"x\"\n":                              "state.folder is missing",
		"[state]\nfolder = \"x\"\nfleet = \"y\"\nevery = -1\n":  "state.every = -1 is not between 0.1 and 3600",
		"[state]\nfolder = \"x\"\nfleet = \"y\"\nevery = nan\n": "state.every = NaN",
		"[state]\nfoldr = \"x\"\n":                              "line 2, column 1: key state.foldr is unknown",
		"[state]\nfolder = 3\n":                                 "line 2, column 10",
		"[state\n":                                              "line 1",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
