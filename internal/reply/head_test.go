package reply_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/reply"
)

// fixedAnswer is a transport that gets the same response to each request.
type fixedAnswer struct{ resp http.Response }

func (f fixedAnswer) RoundTrip(*http.Request) (*http.Response, error) { return &f.resp, nil }

func TestOnlyAnswersAreReturned(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		header http.Header
		ok     bool
	}{
		"success":               {status: 200, header: http.Header{"X-Odd": {"a\tb", "c d", "é"}}, ok: true},
		"redirect":              {status: 304, ok: true},
		"last status":           {status: 599, ok: true},
		"beyond it":             {status: 600},
		"zero":                  {},
		"below one hundred":     {status: 99},
		"switched protocols":    {status: 101},
		"blank in a name":       {status: 200, header: http.Header{"X Odd": {"1"}}},
		"blank before colon":    {status: 200, header: http.Header{"Content-Length ": {"3"}}},
		"control byte in name":  {status: 200, header: http.Header{"X-\x01Odd": {"1"}}},
		"empty name":            {status: 200, header: http.Header{"": {"1"}}},
		"control byte in value": {status: 200, header: http.Header{"X-Odd": {"a\x00b"}}},
		"line feed in a value":  {status: 200, header: http.Header{"X-Odd": {"a", "b\nc"}}},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := http.NewRequest(http.MethodGet, "http://h/", nil)
			require.NoError(t, err)
			got := fixedAnswer{http.Response{StatusCode: c.status, Header: c.header, Body: http.NoBody}}
			resp, err := reply.Transport{RoundTripper: got}.RoundTrip(r)
			if c.ok {
				require.NoError(t, err)
				require.Equal(t, c.status, resp.StatusCode)
				return
			}
			require.ErrorIs(t, err, reply.ErrNoAnswer)
		})
	}
}
