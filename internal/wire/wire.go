// Package wire holds the names and JSON bodies of the HTTP protocols towards
// backend servers and the platform. The clients and the stand-ins share it.
package wire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	shed "jasmineshed"
)

// Headers of jasmineshed's own.
const (
	// HeaderCall carries the call's id, "request/stage/attempt".
	HeaderCall = "X-Call-Id"
	// HeaderPriority carries the priority; smaller is more urgent.
	HeaderPriority = "X-Priority"
	// HeaderResume asks to go on with a stream, "callid:offset".
	HeaderResume = "X-Stream-Resume"
	// HeaderBudget carries the milliseconds left until the deadline. It bounds
	// what a call that was held up on its way can still cost.
	HeaderBudget = "X-Budget-Ms"
	// HeaderNotRun, set to NotRunTrue, says that the server has not run the call.
	HeaderNotRun = "X-Not-Run"
	// HeaderBoot carries the server's boot identity, on the answer to a call. It
	// shows a restart before the next load report does.
	HeaderBoot = "X-Boot-Id"
	// HeaderRevision carries the platform's store revision.
	HeaderRevision = "X-Revision"
)

// NotRunTrue is the one value of HeaderNotRun that counts.
const NotRunTrue = "true"

// Paths of the protocols.
const (
	PathChat        = "/v1/chat/completions"
	PathEmbeddings  = "/v1/embeddings"
	PathRerank      = "/v1/rerank"
	PathRetrieve    = "/v1/retrieve"
	PathStreams     = "/v1/streams/"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathOrders      = "/v1/orders"
	PathCall        = "/v1/call"
	PathValues      = "/v1/values/"
	PathVMs         = "/v1/vms"
)

// StreamDone is the data of a stream's last event.
const StreamDone = "[DONE]"

// ErrBadCallID means that a text is no call id.
var ErrBadCallID = errors.New("not a call id")

// CallID renders a call as "request/stage/attempt".
func CallID(c shed.Call) string {
	b := make([]byte, 0, len(c.Request)+10)
	b = append(b, c.Request...)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(c.Stage), 10)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(c.Attempt), 10)
	return string(b)
}

// ParseCallID reads what CallID wrote, or returns ErrBadCallID.
func ParseCallID(s string) (shed.Call, error) {
	rest, attempt, ok := cutLast(s, '/')
	if !ok {
		return shed.Call{}, fmt.Errorf("%w: %q", ErrBadCallID, s)
	}
	request, stage, ok := cutLast(rest, '/')
	if !ok || request == "" {
		return shed.Call{}, fmt.Errorf("%w: %q", ErrBadCallID, s)
	}
	n, err := strconv.ParseUint(stage, 10, 8)
	if err != nil {
		return shed.Call{}, fmt.Errorf("%w: %q", ErrBadCallID, s)
	}
	a, err := strconv.ParseUint(attempt, 10, 16)
	if err != nil {
		return shed.Call{}, fmt.Errorf("%w: %q", ErrBadCallID, s)
	}
	return shed.Call{Request: shed.RequestID(request), Stage: uint8(n), Attempt: uint16(a)}, nil
}

// FormatResume renders HeaderResume.
func FormatResume(c shed.Call, offset shed.Tokens) string {
	return CallID(c) + ":" + strconv.FormatUint(uint64(offset), 10)
}

// ParseResume reads HeaderResume into the stream's id and the offset.
func ParseResume(s string) (string, int, error) {
	id, offset, ok := cutLast(s, ':')
	if !ok {
		return "", 0, fmt.Errorf("%w: %q", ErrBadCallID, s)
	}
	n, err := strconv.ParseUint(offset, 10, 31)
	if err != nil {
		return "", 0, fmt.Errorf("%w: %q", ErrBadCallID, s)
	}
	return id, int(n), nil
}

func cutLast(s string, sep byte) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}
