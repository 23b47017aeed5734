package origin

import (
	"strconv"

	shed "jasmineshed"
)

// Wanted is what the cache of a server must hold if the server wrote a stream: the last part of the stream's prompt,
// which no other request has, with the tokens that were written after it.
type Wanted struct {
	Part shed.PromptPart
	// Written is how many tokens were written at least.
	Written shed.Tokens
}

// WantedFor returns what the server that wrote a stream holds, by the request that resumes it. ok is false if the
// request doesn't tell.
func WantedFor(head *shed.RequestHead) (w Wanted, ok bool) {
	events, err := strconv.ParseUint(head.LastEventID, 10, 31)
	if err != nil || len(head.Prompt) == 0 {
		return Wanted{}, false
	}
	// An event holds one token or more.
	return Wanted{Part: head.Prompt[len(head.Prompt)-1], Written: shed.Tokens(max(events, 1))}, true
}

// IsIn reports whether a cache holds what is wanted. A part that was only read is no evidence.
func (w Wanted) IsIn(cache []shed.PromptPart) bool {
	for _, part := range cache {
		if part.ID == w.Part.ID && part.Tokens >= w.Part.Tokens+w.Written {
			return true
		}
	}
	return false
}

// Agreed returns the version of the servers that hold what is wanted, if there are any and all run the same one.
func Agreed(versions []shed.SoftwareVersion) (version shed.SoftwareVersion, ok bool) {
	for i, v := range versions {
		if i > 0 && v != version {
			return "", false
		}
		version = v
	}
	return version, len(versions) > 0
}
