package configwatch

import (
	"encoding/json"
	"fmt"

	"sandpass/internal/revision"
	"sandpass/internal/statefile"
)

// form is the file in which a proxy keeps what it holds.
var form = statefile.Format{Name: "sandpass-config", Version: 1, Suffix: ".config", Description: "a saved configuration"}

// saved is the file's body.
type saved struct {
	Fleet    string                   `json:"fleet"`
	Name     string                   `json:"name"`
	Revision revision.Number          `json:"revision"`
	Held     []revision.ScopeDocument `json:"held"`
}

// file is where one proxy's configuration lies.
type file struct {
	folder   string
	identity revision.Identity
}

func (f file) path() string { return form.Path(f.folder, f.identity.Proxy) }

// load reads the configuration; there may be none. A folder of another fleet is a *statefile.Foreign.
func (f file) load() (Configuration, error) {
	body, err := form.Read(f.path())
	if body == nil || err != nil {
		return Configuration{}, err
	}
	return f.decode(body)
}

func (f file) decode(body []byte) (Configuration, error) {
	var s saved
	if err := json.Unmarshal(body, &s); err != nil {
		return Configuration{}, fmt.Errorf("%s: its body: %w", f.path(), err)
	}
	if s.Fleet != f.identity.Fleet {
		return Configuration{}, &statefile.FleetMismatchError{Folder: f.folder, Fleet: s.Fleet, WantFleet: f.identity.Fleet}
	}
	for i, one := range s.Held {
		document, err := revision.Canonicalize(one.Document)
		if err != nil {
			return Configuration{}, fmt.Errorf("%s: held[%d] %s: %w", f.path(), i, one.Scope, err)
		}
		s.Held[i].Document = document
	}
	c, err := newConfiguration(f.identity, s.Revision, s.Held)
	if err != nil {
		return Configuration{}, fmt.Errorf("%s: %w", f.path(), err)
	}
	return c, nil
}

// save writes the configuration, unless a newer one lies there already, as another process of the same name may have
// written it. It returns once the disk has it.
func (f file) save(c Configuration) error {
	body, err := json.Marshal(saved{Fleet: f.identity.Fleet, Name: f.identity.Proxy, Revision: c.Revision, Held: c.Documents})
	if err != nil {
		return err
	}
	_, err = statefile.ReplaceIf(f.path(), form.Encode(body), func() bool {
		present, err := f.load()
		return err != nil || present.Revision <= c.Revision // one that can't be read is of no use
	})
	return err
}
