package gauge

import (
	"errors"
	"slices"

	shed "jasmineshed"
	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"
)

// Verdict is the result of a request for its caller. The set is closed.
type Verdict uint8

// The verdicts.
const (
	// Attained is the complete and correct answer within the deadline.
	Attained Verdict = iota
	// Late is the complete and correct answer after the deadline.
	Late
	// Missing is no complete answer, although the request was not refused.
	Missing
	// Wrong is a complete answer that differs from the correct one to this request.
	Wrong
	// Refused is an answer that the request was not run.
	Refused
	numVerdicts
)

// String returns the verdict's name in reports.
func (v Verdict) String() string {
	return [...]string{"attained", "late", "missing", "wrong", "refused"}[v]
}

// reasonNoAnswer is the reason if the connection to a daemon broke.
const reasonNoAnswer = "no_answer"

// judge sets the verdict of an answer. It compares the answer with what the stand-ins
// compute for this input, which no daemon knows.
func (s *Sample) judge(p *shed.Pipeline, tokens int, answer *client.Answer, err error) {
	s.Verdict = Missing
	s.Reason = reasonNoAnswer
	var refused *client.AnswerError
	if errors.As(err, &refused) {
		answer = refused.Answer
	}
	if answer == nil {
		return
	}
	s.Outcome = answer.Outcome
	s.Reason = answer.Reason
	s.Stages = answer.Stages
	switch {
	case answer.Outcome == client.NotRun:
		s.Verdict = Refused
	case answer.Outcome != client.Complete:
		s.Verdict = Missing
	case !isCorrect(p, answer, s.Input, tokens):
		s.Verdict = Wrong
	case s.Took > p.Deadline:
		s.Verdict = Late
	default:
		s.Verdict = Attained
	}
}

// isCorrect reports whether the answer is what the stages of p compute for the input.
func isCorrect(p *shed.Pipeline, answer *client.Answer, input string, tokens int) bool {
	var want client.Payload
	var passages []shed.Passage
	for _, stage := range p.Stages {
		switch stage.Kind {
		case shed.KindEncode:
			want.Vector = stand.Vector(input)
		case shed.KindRetrieve:
			passages = stand.Passages(input, 0)
		case shed.KindRerank:
			passages = stand.Rerank(input, passages)
		case shed.KindGenerate:
			want.Text = stand.FullText(input, tokens)
		case shed.KindService:
			want.Receipt = stand.Receipt(shed.RequestID(answer.RequestID), input)
		}
	}
	got := answer.Payload
	for _, p := range passages {
		want.Passages = append(want.Passages, client.Passage{ID: p.ID, Text: p.Text, Score: p.Score})
	}
	return got.Text == want.Text && got.Receipt == want.Receipt &&
		slices.Equal(got.Passages, want.Passages) && slices.Equal(got.Vector, want.Vector)
}
