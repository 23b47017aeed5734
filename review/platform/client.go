package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientHost = "review.example"
	clientKey  = "key-of-one"
)

// reply is what a client got.
type reply struct {
	id     string
	status int
	header http.Header
	body   []byte
	// err is the error at which the answer ended; nil if it looks complete.
	err error
}

// events returns how many whole events the reply holds.
func (r reply) events() int { return bytes.Count(r.body, []byte("\n\n")) }

var lastRequest atomic.Int64

// sentAt holds when clients sent each request.
var sentAt sync.Map

// newID returns an id that no other request has.
func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastRequest.Add(1)) }

// call sends one request with the usual key and reads the answer to its end.
func (r *relay) call(method, path string, deadline time.Duration, header http.Header, body string) reply {
	return r.callWithKey(clientKey, method, path, deadline, header, body)
}

// callWithKey sends one request with a key, or with none if it is empty.
func (r *relay) callWithKey(key, method, path string, deadline time.Duration, header http.Header, body string) reply {
	out := reply{id: newID()}
	req, err := http.NewRequest(method, "http://"+r.front+path, strings.NewReader(body))
	must(err)
	for name, values := range header {
		req.Header[name] = values
	}
	req.Host = clientHost
	req.Header.Set("X-Request-Id", out.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	sentAt.Store(out.id, time.Now())
	sentTo.Store(out.id, r)
	resp, err := r.client.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status, out.header = resp.StatusCode, resp.Header
	out.body, out.err = io.ReadAll(resp.Body)
	return out
}

// modelHeader is the header of a request to a model server.
func modelHeader() http.Header {
	return http.Header{
		"X-Model": {"m"}, "X-Token-Count": {"120,40"},
		"X-Prompt-Prefix": {fmt.Sprintf("5c1e07a2:100,%08x:20", rand.Uint32())},
	}
}

// every calls f on its own goroutine perSecond times a second until d has passed, and waits for all.
func every(perSecond float64, d time.Duration, f func(n int)) {
	done := make(chan struct{})
	n := 0
	for began := time.Now(); time.Since(began) < d; {
		go func(n int) {
			defer func() { done <- struct{}{} }()
			f(n)
		}(n)
		n++
		time.Sleep(time.Duration(float64(time.Second) / perSecond * rand.Float64() * 2))
	}
	for range n {
		<-done
	}
}
