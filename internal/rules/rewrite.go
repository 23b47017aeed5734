package rules

import (
	"bytes"

	shed "jasmineshed"
)

// ReplaceURLs gives servers other URLs and leaves the rest of the text as it is.
// Url returns a server's new URL, or "" to keep it. A text with faults comes
// back unchanged.
func ReplaceURLs(text []byte, url func(shed.ServerID) string) []byte {
	r, faults := Parse(text, 0)
	if len(faults) > 0 {
		return text
	}
	lines := bytes.Split(text, []byte("\n"))
	for _, s := range r.Servers {
		to := url(s.ID)
		if to == "" {
			continue
		}
		i := s.Line - 1
		lines[i] = bytes.Replace(lines[i], []byte(s.URL), []byte(to), 1)
	}
	return bytes.Join(lines, []byte("\n"))
}
