package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
)

// call is one HTTP call.
type call struct {
	method, url string
	body        any
}

type workBody struct {
	Pipeline  string `json:"pipeline,omitempty"`
	Input     string `json:"input"`
	MaxTokens uint32 `json:"max_tokens,omitempty"`
	BudgetMs  int64  `json:"budget_ms,omitempty"`
}

func newWorkBody(w Request, pipeline string) workBody {
	return workBody{
		Pipeline:  pipeline,
		Input:     w.Input,
		MaxTokens: w.MaxTokens,
		BudgetMs:  w.Budget.Milliseconds(),
	}
}

type ticketBody struct {
	Pipeline string `json:"pipeline"`
}

func escape(id string) string { return url.PathEscape(id) }

// onlyReader hides the kind of its reader. net/http rewinds the body of a kind
// that it knows and then repeats a request by itself when a kept connection
// breaks, also when the far side has already begun to run it.
type onlyReader struct{ io.Reader }

// request builds the HTTP request and a flag that tells whether any byte of it
// may have left.
func (c *Client) request(ctx context.Context, ca call) (*http.Request, *atomic.Bool, error) {
	sent := new(atomic.Bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	var body io.Reader
	length := 0
	if ca.body != nil {
		text, err := json.Marshal(ca.body)
		if err != nil {
			return nil, nil, fmt.Errorf("client: %w", err)
		}
		length = len(text)
		body = onlyReader{bytes.NewReader(text)}
	}
	req, err := http.NewRequestWithContext(ctx, ca.method, ca.url, body)
	if err != nil {
		return nil, nil, fmt.Errorf("client: %w", err)
	}
	if body != nil {
		req.ContentLength = int64(length)
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("X-Workspace", c.cfg.Workspace)
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	return req, sent, nil
}

// send makes the call and gives its response, whatever the status.
func (c *Client) send(ctx context.Context, ca call) (*http.Response, error) {
	req, sent, err := c.request(ctx, ca)
	if err != nil {
		return nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, &NoAnswerError{Sent: sent.Load(), Err: err}
	}
	return res, nil
}

// whole makes the call and gives the answer; one that isn't complete is an
// AnswerError.
func (c *Client) whole(ctx context.Context, ca call) (*Answer, error) {
	var answer Answer
	if err := c.do(ctx, ca, &answer); err != nil {
		return nil, err
	}
	return checked(&answer)
}

// errNoOutcome is for a body that is JSON, but no answer.
var errNoOutcome = errors.New("an answer without an outcome")

func checked(a *Answer) (*Answer, error) {
	if a.Outcome == "" {
		return nil, &NoAnswerError{Sent: true, Err: errNoOutcome}
	}
	if a.Outcome != Complete {
		return nil, &AnswerError{Answer: a}
	}
	return a, nil
}

// do makes the call and takes its body into out if it went well.
func (c *Client) do(ctx context.Context, ca call, out any) error {
	res, err := c.send(ctx, ca)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusMultipleChoices {
		return refusal(res)
	}
	return read(res, out)
}

func refusal(res *http.Response) error {
	var answer Answer
	if err := read(res, &answer); err != nil {
		return err
	}
	if answer.Outcome == "" {
		return &NoAnswerError{Sent: true, Err: fmt.Errorf("%s: %w", res.Status, errNoOutcome)}
	}
	return &AnswerError{Answer: &answer}
}

func read(res *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, answerLimit))
	if err != nil {
		return &NoAnswerError{Sent: true, Err: err}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &NoAnswerError{Sent: true, Err: fmt.Errorf("%s: %w", res.Status, err)}
	}
	return nil
}
