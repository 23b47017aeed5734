package shed

import "strconv"

// outcomeNames are the outcomes as answers, spans and metrics give them.
var outcomeNames = map[Outcome]string{
	OutcomeComplete:  "complete",
	OutcomeNotRun:    "not_run",
	OutcomeRefused:   "refused",
	OutcomeUnknown:   "outcome_unknown",
	OutcomeFailed:    "failed",
	OutcomeDeadline:  "deadline_exceeded",
	OutcomeCancelled: "cancelled",
}

// String is the outcome's name in answers, spans and metrics.
func (o Outcome) String() string { return named(outcomeNames[o], uint8(o)) }

var callEndNames = map[CallEnd]string{
	EndComplete:   "complete",
	EndNotStarted: "not_started",
	EndOverloaded: "overloaded",
	EndBroken:     "broken",
	EndError:      "error",
	EndBadReply:   "bad_reply",
	EndCancelled:  "cancelled",
}

// String is the end's name in spans and metrics.
func (e CallEnd) String() string { return named(callEndNames[e], uint8(e)) }

var kindNames = map[StageKind]string{
	KindEncode:   "encode",
	KindRetrieve: "retrieve",
	KindRerank:   "rerank",
	KindGenerate: "generate",
	KindService:  "service",
}

// String is the kind's name in the rules.
func (k StageKind) String() string { return named(kindNames[k], uint8(k)) }

// ParseStageKind is the kind that the rules call name.
func ParseStageKind(name string) (StageKind, bool) {
	for k := KindEncode; k <= KindService; k++ {
		if kindNames[k] == name {
			return k, true
		}
	}
	return 0, false
}

func named(name string, n uint8) string {
	if name == "" {
		return "unknown_" + strconv.Itoa(int(n))
	}
	return name
}
