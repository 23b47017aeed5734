package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"jasmineshed/internal/quota"
)

const jsonType = "application/json"

// Names of the decoding errors that get another status than 400.
const (
	errorBodyTooLarge = "body_too_large"
	errorNoRoom       = "no_room"
)

// decoder accepts exactly one JSON object.
type decoder struct{ r *http.Request }

func newDecoder(r *http.Request) goahttp.Decoder { return decoder{r} }

// Decode reads the body into v. It always reads to the end of the body, because net/http
// detects a client disconnect only from then on.
func (d decoder) Decode(v any) error {
	if t := d.r.Header.Get("Content-Type"); t != "" {
		media, _, err := mime.ParseMediaType(t)
		if err != nil || media != jsonType {
			return goa.UnsupportedMediaTypeError(t)
		}
	}
	body, err := readBody(d.r.Body)
	if err != nil {
		return newReadError(err)
	}
	return unmarshal(body, v)
}

func readBody(body io.ReadCloser) ([]byte, error) {
	if timed, ok := body.(*timedBody); ok {
		return timed.receive()
	}
	return io.ReadAll(body)
}

func newReadError(err error) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return goa.PermanentError(errorBodyTooLarge, "body is larger than %d bytes", large.Limit)
	case errors.Is(err, quota.ErrNoRoom), errors.Is(err, quota.ErrGivenUp):
		return goa.PermanentError(errorNoRoom, "no room for the body: %s", err)
	}
	return fmt.Errorf("reading the body: %w", err)
}

// encoder writes JSON regardless of the Accept header.
type encoder struct{ w http.ResponseWriter }

func newEncoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", jsonType)
	return encoder{w}
}

func (e encoder) Encode(v any) error {
	if err := json.NewEncoder(e.w).Encode(v); err != nil {
		return fmt.Errorf("encoding the response: %w", err)
	}
	return nil
}
