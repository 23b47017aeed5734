// Package client calls a fleet of jasmineshed as a caller does.
//
// A call is repeated only where that can't run anything twice: a request that
// the fleet says was not run, or a ticketed one.
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
)

// Config of a Client.
type Config struct {
	// URLs of the fleet's entry VMs or its balancer; one at least. Calls go to
	// them in turn, and so do the repeats of one call.
	URLs []string
	// Workspace and its token.
	Workspace, Token string
	// MaxRetries bounds how often one call is made again; 0 takes DefaultMaxRetries,
	// a negative one repeats nothing.
	MaxRetries int
	// IdleTimeout is the longest time that a stream may say nothing at all before
	// its connection is given up; 0 takes DefaultIdleTimeout. The fleet sends beats
	// far more often.
	IdleTimeout time.Duration
	// Transport carries the calls; nil takes one of the client's own.
	Transport http.RoundTripper
}

// Defaults for Config.
const (
	DefaultMaxRetries  = 3
	DefaultIdleTimeout = 10 * time.Second
)

// answerLimit bounds the body of an answer.
const answerLimit = 64 << 20

// Client calls a fleet. It may be used by many goroutines at once.
type Client struct {
	cfg  Config
	http *http.Client
	// turn counts calls, and so spreads them over the URLs.
	turn atomic.Uint32
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
		Transport: cfg.Transport,
		// A redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	// Many clients live for one call only, and all would start at the first URL.
	c.turn.Store(rand.Uint32N(uint32(len(cfg.URLs))))
	return c, nil
}

func newTransport() *http.Transport {
	dialer := net.Dialer{
		Timeout: 2 * time.Second,
		// A whole answer may take seconds during which nothing is sent. These
		// probes tell a slow answer from a connection that something between
		// has lost track of.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     5 * time.Second,
			Interval: 3 * time.Second,
			Count:    3,
		},
	}
	return &http.Transport{
		Proxy:                 http.ProxyFromEnvironment,
		DialContext:           dialer.DialContext,
		TLSHandshakeTimeout:   5 * time.Second,
		MaxIdleConnsPerHost:   64,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: time.Minute,
	}
}

// Request is what a pipeline is asked to do.
type Request struct {
	Pipeline string
	Input    string
	// MaxTokens bounds what a generate stage produces; 0 leaves it open.
	MaxTokens uint32
	// Budget is the time limit; 0 takes the pipeline's deadline.
	Budget time.Duration
}

// Run runs an idempotent pipeline and gives its whole answer.
func (c *Client) Run(ctx context.Context, work Request) (*Answer, error) {
	return c.repeat(ctx, c.next(), func(ctx context.Context, base string) (*Answer, error) {
		return c.whole(ctx, call{
			method: http.MethodPost,
			url:    base + "/v1/pipelines/" + escape(work.Pipeline) + "/requests",
			body:   newWorkBody(work, ""),
		})
	})
}

// Ticket gets a ticket for one run of a non-idempotent pipeline.
func (c *Client) Ticket(ctx context.Context, pipeline string) (*Ticket, error) {
	return c.ticket(ctx, c.next(), pipeline)
}

func (c *Client) ticket(ctx context.Context, first int, pipeline string) (*Ticket, error) {
	var ticket Ticket
	_, err := c.repeat(ctx, first, func(ctx context.Context, base string) (*Answer, error) {
		return nil, c.do(ctx, call{
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

// RunOnce gets a ticket and runs the pipeline at most once. After a broken
// connection it asks again with the same ticket, which can't run it twice.
func (c *Client) RunOnce(ctx context.Context, work Request) (*Answer, error) {
	// The VM that gave out the ticket runs it too, which saves a hop.
	first := c.next()
	ticket, err := c.ticket(ctx, first, work.Pipeline)
	if err != nil {
		return nil, fmt.Errorf("getting a ticket: %w", err)
	}
	return c.runTicket(ctx, first, ticket.RequestID, work)
}

// RunTicket is RunOnce with a ticket that the caller has got.
func (c *Client) RunTicket(ctx context.Context, ticket string, work Request) (*Answer, error) {
	return c.runTicket(ctx, c.next(), ticket, work)
}

func (c *Client) runTicket(ctx context.Context, first int, ticket string, work Request) (*Answer, error) {
	return c.repeat(ctx, first, func(ctx context.Context, base string) (*Answer, error) {
		return c.whole(ctx, call{
			method: http.MethodPut,
			url:    base + "/v1/requests/" + escape(ticket),
			body:   newWorkBody(work, work.Pipeline),
		})
	})
}

// Result gives the answer to a ticketed request, waiting for it if it runs.
func (c *Client) Result(ctx context.Context, ticket string) (*Answer, error) {
	return c.repeat(ctx, c.next(), func(ctx context.Context, base string) (*Answer, error) {
		return c.whole(ctx, call{
			method: http.MethodGet,
			url:    base + "/v1/requests/" + escape(ticket),
		})
	})
}
