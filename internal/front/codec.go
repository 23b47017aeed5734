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
)

const jsonType = "application/json"

// errorTooLarge names a decoding error; unlike the others it isn't a 400.
const errorBodyTooLarge = "body_too_large"

// decoder takes one JSON object and nothing else.
type decoder struct{ r *http.Request }

func newDecoder(r *http.Request) goahttp.Decoder { return decoder{r} }

// Decode reads the whole body into v. It goes on to the end of the body also
// after the object: net/http watches for the caller's going away only once the
// body has been read to its end.
func (d decoder) Decode(v any) error {
	if t := d.r.Header.Get("Content-Type"); t != "" {
		media, _, err := mime.ParseMediaType(t)
		if err != nil || media != jsonType {
			return goa.UnsupportedMediaTypeError(t)
		}
	}
	body, err := io.ReadAll(d.r.Body)
	if err != nil {
		return newReadError(err)
	}
	return unmarshal(body, v)
}

func newReadError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return goa.PermanentError(errorBodyTooLarge, "body is larger than %d bytes", large.Limit)
	}
	return fmt.Errorf("reading the body: %w", err)
}

// encoder writes JSON whatever the caller accepts.
type encoder struct{ w http.ResponseWriter }

func newEncoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", jsonType)
	return encoder{w}
}

func (e encoder) Encode(v any) error {
	if err := json.NewEncoder(e.w).Encode(v); err != nil {
		return fmt.Errorf("writing the answer: %w", err)
	}
	return nil
}
