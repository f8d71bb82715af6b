package revision

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

const (
	// MaxDocumentBytes is the limit for the document of a scope, and for the merged configuration.
	MaxDocumentBytes = 1 << 20
	maxDepth         = 64 // levels of nesting; merging recurses
)

// Document is a JSON object in canonical form: sorted keys, no white space, numbers as written, no null.
type Document = json.RawMessage

// EmptyDocument is the document without keys.
var EmptyDocument = Document("{}")

// Canonicalize parses a document that a user wrote. Its errors are one line; they name the line and column of invalid JSON, or
// the key whose value is null, which a merge patch could not represent.
//
// The control replicas store these error texts in the replicated state, as part of a refused command's outcome. All replicas
// must produce the same ones, also while two versions run side by side, so the texts must not be changed.
func Canonicalize(text []byte) (Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("the document has %d bytes, %d are allowed", len(text), MaxDocumentBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value map[string]any
	if err := decoder.Decode(&value); err != nil {
		return nil, withPosition(text, decoder, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		line, column := position(text, decoder.InputOffset())
		return nil, fmt.Errorf("line %d, column %d: something follows the document", line, column)
	}
	if value == nil {
		return nil, errors.New("line 1, column 1: the document is not an object")
	}
	if err := checkValue(value, "", 0); err != nil {
		return nil, err
	}
	return Encode(value)
}

// withPosition adds the line and column to a decoder's error.
func withPosition(text []byte, decoder *json.Decoder, err error) error {
	offset := decoder.InputOffset()
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
		err = errors.New("the document is not an object")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		offset = int64(len(text))
		err = errors.New("the document breaks off")
	}
	line, column := position(text, offset)
	return fmt.Errorf("line %d, column %d: %w", line, column, err)
}

// position returns the line and column of an offset, both from 1.
func position(text []byte, offset int64) (line, column int) {
	before := text[:min(int64(len(text)), max(0, offset))]
	line = 1 + bytes.Count(before, []byte("\n"))
	return line, max(1, len(before)-bytes.LastIndexByte(before, '\n')-1)
}

// checkValue returns an error for a null, or for nesting deeper than maxDepth.
func checkValue(value any, path string, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("%s: nested over %d levels", path, maxDepth)
	}
	switch value := value.(type) {
	case nil:
		return fmt.Errorf("%s is null: leave the key out instead", path)
	case map[string]any:
		for key, inner := range value {
			if err := checkValue(inner, joinPath(path, key), depth+1); err != nil {
				return err
			}
		}
	case []any:
		for i, inner := range value {
			if err := checkValue(inner, fmt.Sprintf("%s[%d]", path, i), depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// joinPath returns the path of a key inside an object.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Encode encodes a value as canonical JSON: sorted keys, no white space, no HTML escaping.
func Encode(value any) (Document, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// Checksum returns the SHA-256 of a canonical document, in hexadecimal.
func Checksum(document Document) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Diff returns the RFC 7396 merge patch from one canonical document to another.
func Diff(from, to Document) (Document, error) {
	patch, err := jsonpatch.CreateMergePatch(from, to)
	if err != nil {
		return nil, fmt.Errorf("merge patch: %w", err)
	}
	return patch, nil
}

// ApplyPatch applies an RFC 7396 merge patch to a document; the result is canonical.
func ApplyPatch(document, patch Document) (Document, error) {
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return nil, fmt.Errorf("merge patch: %w", err)
	}
	return Canonicalize(merged)
}

// Merge merges canonical documents in order; later ones take precedence.
func Merge(documents ...Document) (Document, error) {
	merged := EmptyDocument
	for _, document := range documents {
		if len(document) == 0 {
			continue
		}
		next, err := ApplyPatch(merged, document)
		if err != nil {
			return nil, err
		}
		merged = next
	}
	return merged, nil
}
