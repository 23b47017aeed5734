// Package reply decides whether what a server sent is an answer and whether it is whole.
package reply

import "net/http"

// EndsWithConnection reports whether an answer has neither a length nor chunks, so that the end of its server looks
// like its own.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Ending is what is known of a server when an answer ended with its connection.
type Ending struct {
	// Crashed: this start of the server is known to have crashed, or another one has taken its place.
	Crashed bool
	// Serves: the server answers requests, or nobody can tell that it doesn't.
	Serves bool
	// Leaving: the server had announced that it leaves. It takes no new connections then, and ends after its last answer.
	Leaving bool
	// Together is how many of the server's connections ended at the same time as this one, itself included, and
	// Open how many are still open.
	Together, Open int
}

// Verdict tells whether an answer is whole.
type Verdict string

// Verdicts.
const (
	Whole  Verdict = "whole"
	CutOff Verdict = "cut_off"
	// Unproven: most likely whole, but the server may have been killed while it was leaving.
	Unproven Verdict = "unproven"
)

// minKilled is how many answers have to end together to show that their server was killed.
const minKilled = 3

// Verdict decides whether the answer is whole. The kernel closes the connections of a killed process like those of a
// process that has sent everything.
func (e Ending) Verdict() Verdict {
	switch {
	case e.Crashed:
		return CutOff
	case e.Serves:
		return Whole
	case !e.Leaving:
		return CutOff
	case e.Open > 0:
		return Whole
	case e.Together >= minKilled:
		return CutOff
	}
	return Unproven
}
