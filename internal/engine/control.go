package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	shed "jasmineshed"
	"jasmineshed/internal/reply"
	"jasmineshed/internal/wire"
)

// maxControlReply bounds a load report or the answer to an order, in bytes.
const maxControlReply = 64 << 10

// Errors of load reports and orders.
var (
	// ErrUnreachable: no answer came in time.
	ErrUnreachable = errors.New("backend server unreachable")
	// ErrBadReply: the answer is invalid.
	ErrBadReply = errors.New("bad reply from the backend server")
	// ErrRefused: the server refused for another reason than a stale fencing number.
	ErrRefused = errors.New("refused by the backend server")
)

// Load requests a server's load report. It fails with ErrUnreachable or ErrBadReply.
func (e *Engine) Load(ctx context.Context, base string) (shed.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ControlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+wire.PathLoad, nil)
	if err != nil {
		return shed.LoadReport{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	status, data, err := e.roundTrip(req)
	if err != nil {
		return shed.LoadReport{}, err
	}
	if status != http.StatusOK {
		return shed.LoadReport{}, fmt.Errorf("%w: status %d", ErrBadReply, status)
	}
	var load wire.Load
	if err := json.Unmarshal(data, &load); err != nil {
		return shed.LoadReport{}, fmt.Errorf("%w: %w", ErrBadReply, err)
	}
	if load.Boot == "" || load.Running < 0 || load.Waiting < 0 || load.AgeMS < 0 {
		return shed.LoadReport{}, fmt.Errorf("%w: load report without boot id or with negative numbers", ErrBadReply)
	}
	return load.Report(), nil
}

// Order sends an order. If the server refuses a stale fencing number, the result has
// StaleFence and there is no error. Other failures are ErrUnreachable, after which the order
// may have been carried out, ErrRefused and ErrBadReply.
func (e *Engine) Order(ctx context.Context, order shed.SendOrder) (shed.OrderEnded, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.OrderTimeout)
	defer cancel()
	ended := shed.OrderEnded{Server: order.Server, Fence: order.Fence}
	req, err := newPost(ctx, order.URL+wire.PathOrders, wire.Order{
		Fence:    order.Fence,
		Model:    string(order.Model),
		Version:  order.Version,
		Adapters: order.Adapters,
		Role:     order.Role,
	})
	if err != nil {
		return ended, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if e.cfg.OrderToken != "" {
		req.Header.Set("Authorization", "Bearer "+e.cfg.OrderToken)
	}
	status, _, err := e.roundTrip(req)
	if err != nil {
		return ended, err
	}
	switch {
	case status == http.StatusOK:
		ended.Done = true
	case status == http.StatusConflict:
		ended.StaleFence = true
	case status >= http.StatusBadRequest:
		return ended, fmt.Errorf("%w: status %d", ErrRefused, status)
	default:
		return ended, fmt.Errorf("%w: status %d", ErrBadReply, status)
	}
	return ended, nil
}

// roundTrip makes one control request and reads its response.
func (e *Engine) roundTrip(req *http.Request) (int, []byte, error) {
	resp, err := reply.Transport{RoundTripper: e.control}.RoundTrip(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlReply+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if len(data) > maxControlReply {
		return 0, nil, fmt.Errorf("%w: longer than %d bytes", ErrBadReply, maxControlReply)
	}
	return resp.StatusCode, data, nil
}

// cancelInBackground tells the engine asynchronously that the call's result is no longer
// needed. This is best effort: if it is lost, the engine stops by itself when the budget sent
// with the call is spent.
func (e *Engine) cancelInBackground(start shed.StartCall) {
	if start.Stage.Kind == shed.KindService {
		return
	}
	e.cancellations.TryGo(func() error {
		ctx, stop := context.WithTimeout(context.Background(), e.cfg.ControlTimeout)
		defer stop()
		id := url.PathEscape(wire.CallID(start.Call))
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, start.URL+wire.PathStreams+id, nil)
		if err != nil {
			return nil
		}
		_, _, _ = e.roundTrip(req)
		return nil
	})
}
