package reply

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport makes exchanges with servers and returns only what is an answer. Its connections should be Conns.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r.WithContext(followRequest(r.Context())))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		return nil, errors.Join(err, resp.Body.Close())
	}
	return resp, nil
}

// CloseIdleConnections closes idle connections.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// followRequest returns ctx with hooks that tell the connection of a request when it begins and is written.
func followRequest(ctx context.Context) context.Context {
	var mu sync.Mutex
	var conn *Conn
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			if conn = tracked(info.Conn); conn != nil {
				conn.BeginRequest()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			if conn != nil {
				conn.EndRequest(info.Err)
			}
		},
	})
}

// tracked returns the Conn under a connection; nil if there is none.
func tracked(c net.Conn) *Conn {
	if t, ok := under[interface{ Tracked() *Conn }](c); ok {
		return t.Tracked()
	}
	return nil
}

// under returns the first of a connection and those below it that is a T.
func under[T any](c net.Conn) (found T, ok bool) {
	for c != nil {
		if found, ok = c.(T); ok {
			return found, true
		}
		upper, isUpper := c.(interface{ NetConn() net.Conn })
		if !isUpper {
			break
		}
		c = upper.NetConn()
	}
	return found, false
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a DialFunc whose connections are Conns; nil means TCP.
func Dial(dial DialFunc) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
