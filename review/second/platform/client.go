package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func isReady(r *relay) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + r.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// result is what a client got.
type result struct {
	status int
	seal   string
	events []string
	body   string
	err    error
}

// request is one client attempt.
type request struct {
	id, method, host, path string
	header                 map[string]string
	body                   string
	deadline               time.Duration
}

// send makes one client attempt on a new connection.
func (q request) send(front string, onEvent func(string)) result {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer tr.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+front+q.path, strings.NewReader(q.body))
	if err != nil {
		return result{err: err}
	}
	req.Host = q.host
	req.Header.Set("X-Request-Id", q.id)
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	out := result{status: resp.StatusCode, seal: resp.Header.Get("X-Response-Seal")}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		data, err := io.ReadAll(resp.Body)
		out.body, out.err = string(data), err
		return out
	}
	in := bufio.NewReader(resp.Body)
	var event strings.Builder
	for {
		line, err := in.ReadString('\n')
		event.WriteString(line)
		if err == nil && line == "\n" {
			out.events = append(out.events, event.String())
			if onEvent != nil {
				onEvent(event.String())
			}
			event.Reset()
		}
		if err == io.EOF {
			return out
		}
		if err != nil {
			out.err = err
			return out
		}
	}
}
