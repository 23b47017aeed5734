package front

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// For any path, header and body the caller gets exactly one JSON answer, and only valid
// requests reach Serving.
func FuzzRun(f *testing.F) {
	f.Add("caption", "weer", "Bearer x", `{"input":"x"}`)
	f.Add("caption", "weer", "", `{"input":"x","max_tokens":4294967296}`)
	f.Add("..", "a b", "Basic x", `{"input":"\ud800","budget_ms":9e99}`)
	f.Add("%2f", "\x00", "Bearer ", "[[[[")
	f.Add("", "", "", "\xef\xbb\xbf{}")
	codes := map[int]bool{200: true, 400: true, 404: true, 405: true, 413: true}
	f.Fuzz(func(t *testing.T, pipeline, workspace, token, body string) {
		serving := servingWith(complete)
		req := newCall("POST", runPath, body)
		req.URL.Path = "/v1/pipelines/" + pipeline + "/requests"
		req.Header.Set("X-Workspace", workspace)
		req.Header.Set("Authorization", token)
		w := record(newTestFront(serving, nil), req)
		require.True(t, codes[w.Code], w.Code)
		decodeBody(t, w)
		require.Equal(t, w.Code == 200, len(serving.requests) == 1)
		for _, r := range serving.requests {
			require.Regexp(t, `^[A-Za-z0-9._-]{1,64}$`, string(r.Pipeline))
			require.Regexp(t, `^[A-Za-z0-9._-]{1,64}$`, string(r.Workspace))
		}
	})
}
