// Package tomlconfig decodes TOML files written by people. An unknown key is an error, and each error is one line with its
// position. A text with an error is rejected as a whole.
package tomlconfig

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes a text into target, a pointer.
func Decode(text []byte, target any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return WithPosition(d.Decode(target))
}

// WithPosition turns a decoder's error into one line with its position; nil stays nil.
func WithPosition(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		line, column := e.Position()
		return fmt.Errorf("line %d, column %d: key %s is unknown", line, column, strings.Join(e.Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		return fmt.Errorf("line %d, column %d: %s", line, column, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return err
}
