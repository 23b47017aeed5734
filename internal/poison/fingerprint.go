// Package poison detects requests that crash the backend servers that run them, and
// decides where a suspect may still run. It does no I/O and reads no clock.
//
// Load pattern: a caller sends a request that crashes each server that starts to run it.
// The connection breaks, and the caller retries with another id, at any VM, several times a
// second. Servers take seconds to restart, so a few such requests leave no server for
// others; and each crash interrupts all requests that run on the same server.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"net/url"
	"strings"

	shed "jasmineshed"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by its workspace, method, host, path, query arguments and
// body. The order of query arguments is ignored, as are the id, the deadline and other
// headers. It includes the workspace so that no caller can get another workspace's
// request suspected.
func Fingerprint(workspace shed.WorkspaceID, head *shed.RequestHead, body []byte) shed.Fingerprint {
	path, query, _ := strings.Cut(head.Target, "?")
	h := sha256.New()
	for _, field := range []string{string(workspace), head.Method, head.Host, path, sortedQuery(query)} {
		// The length prefix makes "a","bc" differ from "ab","c".
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		h.Write([]byte(field))
	}
	h.Write(body)
	return shed.Fingerprint(h.Sum(nil)[:len(shed.Fingerprint{})])
}

// PoolFingerprint returns the fingerprint of a request's pieces in a pool. They are tracked
// separately from the request: the pieces of a request that crashes model engines succeed each
// time.
func PoolFingerprint(f shed.Fingerprint, pool shed.PoolID) shed.Fingerprint {
	h := xxhash.Sum64String(string(pool))
	binary.BigEndian.PutUint64(f[:8], binary.BigEndian.Uint64(f[:8])^h)
	return f
}

// PartFingerprint returns the fingerprint of a part of prompts in a pool. It doesn't include the
// workspace: requests of all workspaces that share the part crash the same servers.
func PartFingerprint(pool shed.PoolID, part string) shed.Fingerprint {
	h := sha256.New()
	for _, field := range []string{"part", string(pool), part} {
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		h.Write([]byte(field))
	}
	return shed.Fingerprint(h.Sum(nil)[:len(shed.Fingerprint{})])
}

// PartFingerprints returns the fingerprints of the parts of a prompt that requests may share, which
// are all but the last.
func PartFingerprints(pool shed.PoolID, prompt []shed.PromptPart) []shed.Fingerprint {
	if len(prompt) < 2 {
		return nil
	}
	out := make([]shed.Fingerprint, len(prompt)-1)
	for i := range out {
		out[i] = PartFingerprint(pool, prompt[i].ID)
	}
	return out
}

// sortedQuery sorts the arguments of a query; one that can't be parsed is returned as it is.
func sortedQuery(query string) string {
	args, err := url.ParseQuery(query)
	if err != nil {
		return query
	}
	return args.Encode()
}
