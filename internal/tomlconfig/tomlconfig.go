// Package tomlconfig decodes TOML that people write: a key that nobody knows is a mistake, and each mistake is one line with its
// place. It must never take a text in part.
package tomlconfig

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads a text into what a pointer points at.
func Decode(text []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return WithPosition(d.Decode(into))
}

// Placed gives a decoder's error with its place, in one line; nil stays nil.
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
