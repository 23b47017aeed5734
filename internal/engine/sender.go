package engine

import (
	"net/http"

	"jasmineshed/internal/reply"
)

// Sender makes single HTTP exchanges with backend servers. It never sends a request twice, and
// it reports reliably whether a byte of it may have been sent.
type Sender struct {
	// pooled keeps connections; unpooled opens one per request, for requests that may run only
	// once.
	pooled   *http.Transport
	unpooled *http.Transport
}

// NewSender returns a Sender without connections. It uses the fields Dial, ConnectTimeout and
// TLS of cfg.
func NewSender(cfg Config) *Sender {
	cfg = cfg.withDefaults()
	s := &Sender{pooled: newTransport(cfg), unpooled: newTransport(cfg)}
	s.unpooled.DisableKeepAlives = true
	return s
}

// Do makes one exchange. Unless gate is nil, nothing is sent that it refuses. A
// request that may run only once gets a new connection: the server may close a reused one just
// as the request is sent, and then it is unknown whether the request ran. If sent is false, no
// byte has been sent, nor will be.
func (s *Sender) Do(req *http.Request, once bool, gate Gate) (resp *http.Response, sent bool, err error) {
	return s.do(req, once, &sendTracker{gate: gate})
}

func (s *Sender) do(req *http.Request, once bool, tracker *sendTracker) (*http.Response, bool, error) {
	t := s.pooled
	if once {
		t = s.unpooled
	}
	resp, err := reply.Transport{RoundTripper: t}.RoundTrip(req.WithContext(tracker.withTrace(req.Context())))
	if err != nil {
		return nil, tracker.mayHaveSent(), tracker.sendError(err)
	}
	return resp, true, nil
}

// Close closes idle connections.
func (s *Sender) Close() {
	s.pooled.CloseIdleConnections()
	s.unpooled.CloseIdleConnections()
}
