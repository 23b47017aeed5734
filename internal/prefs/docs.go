package prefs

import (
	"fmt"
	"io"
	"strings"
)

const docsHeader = `# Settings of a daemon

Settings are read from an INI file, named by ` + "`--settings`" + `. An option that is not
in the file has its default. All faults are reported together, each with section, key
and reason; with any fault the daemon doesn't start. ` + "`jasmineshed settings check FILE`" + `
uses the same code, ` + "`jasmineshed settings show`" + ` prints the settings in effect.

Durations are written as 250ms, 5s or 2m. This page is generated from the code.
`

// WriteDocs prints the page on all options, in Markdown.
func WriteDocs(w io.Writer) error {
	var b strings.Builder
	b.WriteString(docsHeader)
	p := Defaults()
	for i := range sections {
		writeSection(&b, p, &sections[i])
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("writing the page on options: %w", err)
	}
	return nil
}

func writeSection(b *strings.Builder, p *Prefs, s *section) {
	fmt.Fprintf(b, "\n## [%s]\n\n%s\n", s.name, s.doc)
	if len(s.options) == 0 {
		b.WriteString("\nThis section has no options.\n")
		return
	}
	b.WriteString("\n| option | unit | default | bounds | meaning |\n|---|---|---|---|---|\n")
	for i := range s.options {
		o := &s.options[i]
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", o.key, o.unit, quoteValue(o.text(p)), o.bounds(), o.doc)
	}
}

func quoteValue(text string) string {
	if text == "" {
		return "empty"
	}
	return "`" + text + "`"
}

// checkDocs describe what a check on a text requires.
var checkDocs = map[string]string{
	"address": "an IP number and a port above 0",
	"listen":  "an IP number and a port",
	"url":     "http or https",
	"file":    "no quotes, backslash, `;` or `#`",
	"name":    "1 to 64 letters, digits, `.`, `-`, `_`",
}

func (o *option) bounds() string {
	if o.min != "" {
		return o.min + " to " + o.max
	}
	name, arg, _ := strings.Cut(o.check, "=")
	bounds := checkDocs[name]
	if arg != "" {
		bounds = "one of " + strings.Join(strings.Fields(arg), ", ")
	}
	if o.allowEmpty {
		bounds += ", or empty"
	}
	return bounds
}
