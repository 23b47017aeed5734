package gauge

import (
	"reflect"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/stand"
)

// Verdict is what a request was worth to its caller. The set is closed.
type Verdict uint8

// The verdicts.
const (
	// Attained: the whole and right answer, within the deadline.
	Attained Verdict = iota
	// Late: whole and right, but after the deadline.
	Late
	// Missing: no whole answer, though the request was accepted.
	Missing
	// Wrong: an answer that is not the one to this request.
	Wrong
	// Refused: told that it was not run.
	Refused
	verdicts
)

// String names the verdict as in reports.
func (v Verdict) String() string {
	return [...]string{"attained", "late", "missing", "wrong", "refused"}[v]
}

// judge says what an answer was worth. It compares with what the stand-ins
// answer to this input, which no daemon knows.
func judge(p *shed.Pipeline, in shed.Payload, answer shed.Answer, took time.Duration) Verdict {
	switch answer.Outcome {
	case shed.OutcomeNotRun:
		return Refused
	case shed.OutcomeComplete:
	default:
		return Missing
	}
	want := expected(p, answer.Request, in)
	if !reflect.DeepEqual(want, answer.Payload) {
		return Wrong
	}
	if took > p.Deadline {
		return Late
	}
	return Attained
}

// expected is the payload after all stages of p.
func expected(p *shed.Pipeline, id shed.RequestID, in shed.Payload) shed.Payload {
	out := in
	for _, stage := range p.Stages {
		switch stage.Kind {
		case shed.KindEncode:
			out.Vector = stand.Vector(in.Input)
		case shed.KindRetrieve:
			out.Passages = stand.Passages(in.Input, 0)
		case shed.KindRerank:
			out.Passages = stand.Reranked(in.Input, out.Passages)
		case shed.KindGenerate:
			out.Text = stand.WholeText(in.Input, int(in.MaxTokens))
		case shed.KindService:
			out.Receipt = stand.Receipt(id, in.Input)
		}
	}
	return out
}
