// Package poison finds requests that crash the backend servers that run them, and
// decides where a suspect may still run. It is pure.
//
// Load pattern: a caller sends a request that ends each server that begins to run it.
// Its connection breaks, and it comes again, with another id, at any VM, several times a
// second. Servers take seconds to come back, so a few such requests leave none for
// others; and each crash breaks off all that ran on the same server.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"net/url"
	"strings"

	shed "jasmineshed"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint names a request by its workspace, method, host, path, query arguments and
// body. The order of query arguments isn't compared, nor are the id, the deadline and
// other headers. The workspace is a part of it, so that no caller can make another one's
// request look like its own.
func Fingerprint(workspace shed.WorkspaceID, ask *shed.RequestHead, body []byte) shed.Fingerprint {
	path, query, _ := strings.Cut(ask.Target, "?")
	h := sha256.New()
	for _, field := range []string{string(workspace), ask.Method, ask.Host, path, sortedQuery(query)} {
		// The length keeps fields apart: "a","bc" is not "ab","c".
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		h.Write([]byte(field))
	}
	h.Write(body)
	return shed.Fingerprint(h.Sum(nil)[:len(shed.Fingerprint{})])
}

// PoolFingerprint names the pieces of a request that a pool makes. They are judged apart from the
// request: one that ends model engines has its pieces made well each time.
func PoolFingerprint(f shed.Fingerprint, pool shed.PoolID) shed.Fingerprint {
	h := xxhash.Sum64String(string(pool))
	binary.BigEndian.PutUint64(f[:8], binary.BigEndian.Uint64(f[:8])^h)
	return f
}

// sortedQuery sorts the arguments of a query; one that can't be read stays as it is.
func sortedQuery(query string) string {
	args, err := url.ParseQuery(query)
	if err != nil {
		return query
	}
	return args.Encode()
}
