package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"sandpass/internal/revision"
)

// tree is a value of a canonical document. It is never changed once it is built, so that trees may share parts.
type tree struct {
	text    []byte   // canonical, nil for a merged object
	object  bool     // members count
	members []member // ordered by key
}

// member is a key of an object and its value.
type member struct {
	key    string
	quoted []byte // the key as JSON
	value  *tree
}

// parse reads a canonical document, or a value of one.
func parse(text []byte) (*tree, error) {
	value := &tree{text: text, object: text[0] == '{'}
	if !value.object {
		return value, nil
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(text, &members); err != nil {
		return nil, err
	}
	for key, inner := range members {
		quoted, err := revision.Encode(key)
		if err != nil {
			return nil, err
		}
		child, err := parse(inner)
		if err != nil {
			return nil, err
		}
		value.members = append(value.members, member{key: key, quoted: quoted, value: child})
	}
	slices.SortFunc(value.members, func(a, b member) int { return strings.Compare(a.key, b.key) })
	return value, nil
}

// parseDocument reads a canonical document.
func parseDocument(document revision.Document) (*tree, error) {
	if len(document) == 0 || document[0] != '{' {
		return nil, fmt.Errorf("the document is not an object")
	}
	return parse(document)
}

// pair is what two objects have at a key, nil for nothing.
type pair struct {
	member       // of either, without its value
	lower, upper *tree
}

// pairs gives the keys of two objects with both values, ordered by key.
func pairs(lower, upper *tree) []pair {
	list := make([]pair, 0, max(len(lower.members), len(upper.members)))
	low, up := lower.members, upper.members
	for len(low) > 0 || len(up) > 0 {
		switch {
		case len(up) == 0 || len(low) > 0 && low[0].key < up[0].key:
			list = append(list, pair{member: low[0], lower: low[0].value})
			low = low[1:]
		case len(low) == 0 || up[0].key < low[0].key:
			list = append(list, pair{member: up[0], upper: up[0].value})
			up = up[1:]
		default:
			list = append(list, pair{member: up[0], lower: low[0].value, upper: up[0].value})
			low, up = low[1:], up[1:]
		}
	}
	return list
}

// overlay lays one object over another as RFC 7396 says, for objects without null.
func overlay(lower, upper *tree) *tree {
	if len(lower.members) == 0 {
		return upper
	}
	if len(upper.members) == 0 {
		return lower
	}
	merged := &tree{object: true, members: make([]member, 0, len(lower.members)+len(upper.members))}
	for _, at := range pairs(lower, upper) {
		value := at.upper
		switch {
		case at.upper == nil:
			value = at.lower
		case at.lower != nil && at.lower.object && at.upper.object:
			value = overlay(at.lower, at.upper)
		}
		merged.members = append(merged.members, member{key: at.key, quoted: at.quoted, value: value})
	}
	return merged
}

// document is the canonical text.
func (t *tree) document() []byte {
	var out bytes.Buffer
	t.write(&out)
	return out.Bytes()
}

func (t *tree) write(out *bytes.Buffer) {
	if t.text != nil {
		out.Write(t.text)
		return
	}
	out.WriteByte('{')
	for i, one := range t.members {
		if i > 0 {
			out.WriteByte(',')
		}
		out.Write(one.quoted)
		out.WriteByte(':')
		one.value.write(out)
	}
	out.WriteByte('}')
}
