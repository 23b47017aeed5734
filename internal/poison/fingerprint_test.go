package poison_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/poison"
)

func TestFingerprint(t *testing.T) {
	request := shed.RequestHead{ID: "1", Method: "POST", Host: "h", Target: "/a/b?x=1&y=2"}
	of := func(ws shed.WorkspaceID, body string, change func(*shed.RequestHead)) shed.Fingerprint {
		changed := request
		if change != nil {
			change(&changed)
		}
		return poison.Fingerprint(ws, &changed, []byte(body))
	}
	same := of("w", "body", nil)
	require.Equal(t, same, of("w", "body", func(a *shed.RequestHead) { a.ID, a.LastEventID = "2", "7" }))
	require.Equal(t, same, of("w", "body", func(a *shed.RequestHead) { a.Target = "/a/b?y=2&x=1" }))
	for name, other := range map[string]shed.Fingerprint{
		"workspace": of("v", "body", nil),
		"body":      of("w", "bodY", nil),
		"no body":   of("w", "", nil),
		"method":    of("w", "body", func(a *shed.RequestHead) { a.Method = "PUT" }),
		"host":      of("w", "body", func(a *shed.RequestHead) { a.Host = "g" }),
		"path":      of("w", "body", func(a *shed.RequestHead) { a.Target = "/a/c?x=1&y=2" }),
		"argument":  of("w", "body", func(a *shed.RequestHead) { a.Target = "/a/b?x=1&y=3" }),
		"bad query": of("w", "body", func(a *shed.RequestHead) { a.Target = "/a/b?%zz" }),
		"boundary":  of("wP", "body", func(a *shed.RequestHead) { a.Method = "OST" }),
	} {
		require.NotEqual(t, same, other, name)
	}
}

// BenchmarkFingerprint measures the cost added to each request.
func BenchmarkFingerprint(b *testing.B) {
	request := shed.RequestHead{Method: "POST", Host: "pule25.example", Target: "/puxa400/2f"}
	body := make([]byte, 4<<10)
	b.SetBytes(int64(len(body)))
	for range b.N {
		poison.Fingerprint("workspace", &request, body)
	}
}
