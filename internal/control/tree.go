package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"sandpass/internal/revision"
)

// tree is a parsed value of a canonical JSON document. It is immutable, so that trees can share parts.
type tree struct {
	text     []byte   // canonical JSON, nil for a merged object
	isObject bool     // whether the value is an object with members
	members  []member // ordered by key
}

// member is one key of an object with its value.
type member struct {
	key       string
	quotedKey []byte // the key as a JSON string
	value     *tree
}

// parseValue parses a canonical document, or a value of one.
func parseValue(text []byte) (*tree, error) {
	value := &tree{text: text, isObject: text[0] == '{'}
	if !value.isObject {
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
		child, err := parseValue(inner)
		if err != nil {
			return nil, err
		}
		value.members = append(value.members, member{key: key, quotedKey: quoted, value: child})
	}
	slices.SortFunc(value.members, func(a, b member) int { return strings.Compare(a.key, b.key) })
	return value, nil
}

// parseDocument parses a canonical document. It returns an error if the document is not an object.
func parseDocument(document revision.Document) (*tree, error) {
	if len(document) == 0 || document[0] != '{' {
		return nil, fmt.Errorf("the document is not an object")
	}
	return parseValue(document)
}

// memberPair holds the values of two objects for one key. A value is nil if its object does not have the key.
type memberPair struct {
	member       // key only, without the value
	lower, upper *tree
}

// pairMembers returns all keys of two objects with both values, ordered by key.
func pairMembers(lower, upper *tree) []memberPair {
	list := make([]memberPair, 0, max(len(lower.members), len(upper.members)))
	low, up := lower.members, upper.members
	for len(low) > 0 || len(up) > 0 {
		switch {
		case len(up) == 0 || len(low) > 0 && low[0].key < up[0].key:
			list = append(list, memberPair{member: low[0], lower: low[0].value})
			low = low[1:]
		case len(low) == 0 || up[0].key < low[0].key:
			list = append(list, memberPair{member: up[0], upper: up[0].value})
			up = up[1:]
		default:
			list = append(list, memberPair{member: up[0], lower: low[0].value, upper: up[0].value})
			low, up = low[1:], up[1:]
		}
	}
	return list
}

// mergeObjects merges the upper object into the lower one as RFC 7396 specifies, for objects without null values.
func mergeObjects(lower, upper *tree) *tree {
	if len(lower.members) == 0 {
		return upper
	}
	if len(upper.members) == 0 {
		return lower
	}
	merged := &tree{isObject: true, members: make([]member, 0, len(lower.members)+len(upper.members))}
	for _, pair := range pairMembers(lower, upper) {
		value := pair.upper
		switch {
		case pair.upper == nil:
			value = pair.lower
		case pair.lower != nil && pair.lower.isObject && pair.upper.isObject:
			value = mergeObjects(pair.lower, pair.upper)
		}
		merged.members = append(merged.members, member{key: pair.key, quotedKey: pair.quotedKey, value: value})
	}
	return merged
}

// document returns the canonical JSON of the value.
func (t *tree) document() []byte {
	var out bytes.Buffer
	t.write(&out)
	return out.Bytes()
}

// write appends the canonical JSON of the value to a buffer.
func (t *tree) write(out *bytes.Buffer) {
	if t.text != nil {
		out.Write(t.text)
		return
	}
	out.WriteByte('{')
	for i, member := range t.members {
		if i > 0 {
			out.WriteByte(',')
		}
		out.Write(member.quotedKey)
		out.WriteByte(':')
		member.value.write(out)
	}
	out.WriteByte('}')
}
