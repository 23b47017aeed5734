package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"
)

// unmarshal accepts one JSON object without unknown keys: a misspelled key would otherwise be
// ignored silently, and the request run without its limit.
func unmarshal(body []byte, v any) error {
	if len(bytes.TrimSpace(body)) == 0 {
		return io.EOF
	}
	if !utf8.Valid(body) {
		return errors.New("body is no UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return errors.New("JSON ends too early")
		}
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}
