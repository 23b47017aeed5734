package gauge

import (
	"errors"
	"slices"

	shed "jasmineshed"
	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"
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

// reasonNoAnswer is given where a connection to a daemon broke.
const reasonNoAnswer = "no_answer"

// judge says what an answer was worth. It compares with what the stand-ins
// answer to this input, which no daemon knows.
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
	case !right(p, answer, s.Input, tokens):
		s.Verdict = Wrong
	case s.Took > p.Deadline:
		s.Verdict = Late
	default:
		s.Verdict = Attained
	}
}

// right tells whether the answer is what all stages of p make of the input.
func right(p *shed.Pipeline, answer *client.Answer, input string, tokens int) bool {
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
