// Package client is a client of a jasmineshed fleet.
//
// It retries a call if the fleet reports that it was not run, or if the connection
// broke and running it again does no harm: an idempotent pipeline, or a ticket,
// which the fleet runs at most once.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"jasmineshed/internal/reply"
)

// Config configures a Client.
type Config struct {
	// URLs of the fleet's entry VMs or of its load balancer; at least one. Calls
	// and the retries of a call go to them in round-robin order.
	URLs []string
	// Workspace of the caller, and its token.
	Workspace, Token string
	// MaxRetries bounds the retries of one call; 0 means DefaultMaxRetries, a negative
	// value disables retries.
	MaxRetries int
	// IdleTimeout is how long a stream may receive nothing before its connection is
	// closed; 0 means DefaultIdleTimeout. The fleet sends heartbeats far more often.
	IdleTimeout time.Duration
	// Transport makes the calls; nil means a transport of the client's own.
	Transport http.RoundTripper
}

// Defaults for Config.
const (
	DefaultMaxRetries  = 3
	DefaultIdleTimeout = 10 * time.Second
)

// answerLimit bounds the body of an answer, in bytes.
const answerLimit = 64 << 20

// Client calls a fleet. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	// callCount counts calls, and so spreads them over the URLs.
	callCount atomic.Uint32
}

// New builds a client.
func New(cfg Config) (*Client, error) {
	if len(cfg.URLs) == 0 {
		return nil, errors.New("client: no URL")
	}
	if cfg.MaxRetries == 0 {
		cfg.MaxRetries = DefaultMaxRetries
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.Transport == nil {
		cfg.Transport = newTransport()
	}
	c := &Client{cfg: cfg, http: &http.Client{
		Transport: reply.Transport{RoundTripper: cfg.Transport},
		// A redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	// Many clients make only one call: without a random start, all of these calls
	// would go to the first URL.
	c.callCount.Store(rand.Uint32N(uint32(len(cfg.URLs))))
	return c, nil
}

func newTransport() *http.Transport {
	dialer := net.Dialer{
		Timeout: 2 * time.Second,
		// A complete answer may take seconds during which nothing is sent. These
		// probes distinguish a slow answer from a connection whose state was lost
		// by a device in between.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     5 * time.Second,
			Interval: 3 * time.Second,
			Count:    3,
		},
	}
	return &http.Transport{
		Proxy:                 http.ProxyFromEnvironment,
		DialContext:           reply.Dial(dialer.DialContext),
		TLSHandshakeTimeout:   5 * time.Second,
		MaxIdleConnsPerHost:   64,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: time.Minute,
	}
}

// Request is one request to a pipeline.
type Request struct {
	Pipeline string
	Input    string
	// MaxTokens bounds the output of a generate stage; 0 means no bound.
	MaxTokens uint32
	// Budget is the time limit; 0 means the pipeline's deadline.
	Budget time.Duration
}

// Run runs an idempotent pipeline and returns its complete answer.
func (c *Client) Run(ctx context.Context, r Request) (*Answer, error) {
	return c.retry(ctx, c.nextIndex(), func(ctx context.Context, base string) (*Answer, error) {
		return c.callForAnswer(ctx, httpCall{
			method: http.MethodPost,
			url:    base + "/v1/pipelines/" + escape(r.Pipeline) + "/requests",
			body:   newRequestBody(r, ""),
		})
	})
}

// Ticket requests a ticket for one run of a non-idempotent pipeline.
func (c *Client) Ticket(ctx context.Context, pipeline string) (*Ticket, error) {
	return c.ticket(ctx, c.nextIndex(), pipeline)
}

func (c *Client) ticket(ctx context.Context, first int, pipeline string) (*Ticket, error) {
	var ticket Ticket
	_, err := c.retry(ctx, first, func(ctx context.Context, base string) (*Answer, error) {
		return nil, c.do(ctx, httpCall{
			method: http.MethodPost,
			url:    base + "/v1/tickets",
			body:   ticketBody{Pipeline: pipeline},
		}, &ticket)
	})
	if err != nil {
		return nil, err
	}
	return &ticket, nil
}

// RunOnce requests a ticket and runs the pipeline at most once. If the connection
// breaks, it retries with the same ticket, so the pipeline can't run twice.
func (c *Client) RunOnce(ctx context.Context, r Request) (*Answer, error) {
	// The VM that issued the ticket also runs its request; calling it saves a hop.
	first := c.nextIndex()
	ticket, err := c.ticket(ctx, first, r.Pipeline)
	if err != nil {
		return nil, fmt.Errorf("getting a ticket: %w", err)
	}
	return c.runTicket(ctx, first, ticket.RequestID, r)
}

// RunTicket is like RunOnce with a ticket that the caller already has.
func (c *Client) RunTicket(ctx context.Context, ticket string, r Request) (*Answer, error) {
	return c.runTicket(ctx, c.nextIndex(), ticket, r)
}

func (c *Client) runTicket(ctx context.Context, first int, ticket string, r Request) (*Answer, error) {
	return c.retry(ctx, first, func(ctx context.Context, base string) (*Answer, error) {
		return c.callForAnswer(ctx, httpCall{
			method: http.MethodPut,
			url:    base + "/v1/requests/" + escape(ticket),
			body:   newRequestBody(r, r.Pipeline),
		})
	})
}

// Result returns the answer to a ticketed request, and waits for it while the
// request runs.
func (c *Client) Result(ctx context.Context, ticket string) (*Answer, error) {
	return c.retry(ctx, c.nextIndex(), func(ctx context.Context, base string) (*Answer, error) {
		return c.callForAnswer(ctx, httpCall{
			method: http.MethodGet,
			url:    base + "/v1/requests/" + escape(ticket),
		})
	})
}
