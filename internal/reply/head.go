package reply

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrNoAnswer is returned for a response of a server that is no answer: its status is none or isn't final, or its header
// has a field that is none. net/http keeps fields with a blank in their names, and ignores what they say of the body.
var ErrNoAnswer = errors.New("no answer")

// checkHead returns an error if the head is no answer's.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %d", ErrNoAnswer, resp.StatusCode)
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field %q", ErrNoAnswer, name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("%w: value %q of field %s", ErrNoAnswer, v, name)
			}
		}
	}
	return nil
}

// maxStatus is the highest status code of HTTP.
const maxStatus = 599
