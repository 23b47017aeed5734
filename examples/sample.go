// Package sample holds the example rules files, so that the demo and the load
// tool run without any other file.
package sample

import (
	"embed"
	"errors"
	"fmt"
	"sort"
	"strings"
)

//go:embed *.rules.ini
var files embed.FS

const suffix = ".rules.ini"

// ErrUnknownExample is returned for a name that is no example.
var ErrUnknownExample = errors.New("no such example")

// Rules is the text of the example with that name.
func Rules(name string) ([]byte, error) {
	text, err := files.ReadFile(name + suffix)
	if err != nil {
		return nil, fmt.Errorf("%w: %q; there are: %s", ErrUnknownExample, name, strings.Join(Names(), ", "))
	}
	return text, nil
}

// Names of the examples, sorted.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), suffix))
	}
	sort.Strings(out)
	return out
}

// Token is the token of a workspace in the examples. It is no secret.
func Token(workspace string) string { return "demo-" + workspace }
