package configwatch

import (
	"encoding/json"
	"fmt"

	"sandpass/internal/revision"
	"sandpass/internal/statefile"
)

// fileFormat is the format of a proxy's saved configuration.
var fileFormat = statefile.Format{Name: "sandpass-config", Version: 1, Suffix: ".config", Description: "a saved configuration"}

// savedConfig is the body of a saved configuration's file.
type savedConfig struct {
	Fleet    string                   `json:"fleet"`
	Name     string                   `json:"name"`
	Revision revision.Number          `json:"revision"`
	Held     []revision.ScopeDocument `json:"held"`
}

// configFile locates one proxy's saved configuration.
type configFile struct {
	folder   string
	identity revision.Identity
}

func (f configFile) path() string { return fileFormat.Path(f.folder, f.identity.Proxy) }

// load reads the configuration, which is empty if there is no file. A file of another fleet is a *statefile.FleetMismatchError.
func (f configFile) load() (Configuration, error) {
	body, err := fileFormat.Read(f.path())
	if body == nil || err != nil {
		return Configuration{}, err
	}
	return f.decode(body)
}

// decode parses the body of the file.
func (f configFile) decode(body []byte) (Configuration, error) {
	var s savedConfig
	if err := json.Unmarshal(body, &s); err != nil {
		return Configuration{}, fmt.Errorf("%s: its body: %w", f.path(), err)
	}
	if s.Fleet != f.identity.Fleet {
		return Configuration{}, &statefile.FleetMismatchError{Folder: f.folder, Fleet: s.Fleet, WantFleet: f.identity.Fleet}
	}
	for i, doc := range s.Held {
		document, err := revision.Canonicalize(doc.Document)
		if err != nil {
			return Configuration{}, fmt.Errorf("%s: held[%d] %s: %w", f.path(), i, doc.Scope, err)
		}
		s.Held[i].Document = document
	}
	c, err := newConfiguration(f.identity, s.Revision, s.Held)
	if err != nil {
		return Configuration{}, fmt.Errorf("%s: %w", f.path(), err)
	}
	return c, nil
}

// save writes the configuration, unless the file already holds a newer one from another process of the same proxy. It returns
// once the data is on disk.
func (f configFile) save(c Configuration) error {
	body, err := json.Marshal(savedConfig{
		Fleet: f.identity.Fleet, Name: f.identity.Proxy, Revision: c.Revision, Held: c.Documents,
	})
	if err != nil {
		return err
	}
	_, err = statefile.ReplaceIf(f.path(), fileFormat.Encode(body), func() bool {
		present, err := f.load()
		return err != nil || present.Revision <= c.Revision // an unreadable file is replaced
	})
	return err
}
