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
	"jasmineshed/internal/wire"
)

// maxControl bounds a load report or the answer to an order, in bytes.
const maxControlReply = 64 << 10

// Errors of load reports and orders.
var (
	// ErrUnreachable: no answer came in time.
	ErrUnreachable = errors.New("backend server unreachable")
	// ErrBadReply: the answer makes no sense.
	ErrBadReply = errors.New("bad reply of the backend server")
	// ErrRefused: the server refused for another reason than an old fence.
	ErrRefused = errors.New("refused by the backend server")
)

// Load asks a server for its load report. It fails with ErrUnreachable or
// ErrBadReply.
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
		return shed.LoadReport{}, fmt.Errorf("%w: impossible report", ErrBadReply)
	}
	return load.Report(), nil
}

// Order sends an order. A server that refuses an old fencing number gives no
// error but StaleFence; other failures are ErrUnreachable, after which the
// order may have been carried out, ErrRefused and ErrBadReply.
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

// roundTrip makes one control exchange.
func (e *Engine) roundTrip(req *http.Request) (int, []byte, error) {
	resp, err := e.control.RoundTrip(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlReply+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if len(data) > maxControlReply {
		return 0, nil, fmt.Errorf("%w: over %d bytes", ErrBadReply, maxControlReply)
	}
	return resp.StatusCode, data, nil
}

// cancelInBackground tells the engine in the background that nobody wants the call's
// result any more. It is an advice: if it is lost, the engine ends by itself
// when the budget that went with the call is spent.
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
