// Package plat implements shed.Platform over HTTP: it reads the configuration and the VM list,
// and writes nothing.
package plat

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/reply"
	"jasmineshed/internal/rules"
	"jasmineshed/internal/wire"
)

// Limits on the platform's answers.
const (
	// maxValueBytes is the platform's documented maximum size of a value.
	maxValueBytes = 1 << 20
	// maxVMListBytes bounds the VM list.
	maxVMListBytes = 1 << 20
	// defaultTimeout bounds a call in addition to its requested wait.
	defaultTimeout = 3 * time.Second
)

// Errors of a Platform.
var (
	// ErrUnreachable: no answer came, or it broke off.
	ErrUnreachable = errors.New("platform unreachable")
	// ErrBudgetExhausted: the call budget, which all readers share, is exhausted.
	ErrBudgetExhausted = errors.New("platform call budget exhausted")
	// ErrNotFound: the platform has no such value.
	ErrNotFound = errors.New("value not found on the platform")
	// ErrBadReply: the answer is malformed, or a part doesn't match its hash.
	ErrBadReply = errors.New("bad reply from the platform")
)

// Config configures a Platform.
type Config struct {
	// URL is the base URL of the platform's HTTP interface.
	URL string
	// Timeout bounds a call in addition to its requested wait; 0 means three seconds.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Platform is a client of the platform. It is safe for concurrent use.
type Platform struct {
	cfg    Config
	client *http.Client
}

// New returns a client of the platform at cfg.URL.
func New(cfg Config) *Platform {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.Timeout}).DialContext
	}
	cfg.URL = strings.TrimSuffix(cfg.URL, "/")
	return &Platform{
		cfg: cfg,
		client: &http.Client{
			Transport: reply.Transport{RoundTripper: &http.Transport{
				DialContext:            reply.Dial(cfg.Dial),
				MaxIdleConnsPerHost:    4,
				IdleConnTimeout:        time.Minute,
				MaxResponseHeaderBytes: 16 << 10,
				DisableCompression:     true,
			}},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Close closes idle connections.
func (p *Platform) Close() { p.client.CloseIdleConnections() }

// Config reads the index and those parts that read.Have lacks. If nothing is newer than
// read.After, the result has no parts, and its revision is the one that the platform holds: a
// revision equal to read.After confirms it, a lower one shows that the platform is stale. If
// an error occurs, the result contains the parts read before it, so that the next read
// requests fewer.
func (p *Platform) Config(ctx context.Context, read shed.ReadConfig) (shed.ConfigRead, error) {
	got, err := p.readValue(ctx, rules.IndexKey, read.After, read.Wait)
	if err != nil {
		return shed.ConfigRead{Failed: true}, err
	}
	if !got.newer {
		return shed.ConfigRead{Index: shed.ConfigIndex{Revision: got.revision}}, nil
	}
	index, err := rules.ParseIndex(got.revision, got.data)
	if err != nil {
		return shed.ConfigRead{Failed: true}, fmt.Errorf("%w: %w", ErrBadReply, err)
	}
	parts, err := p.readParts(ctx, index.Parts, read.Have)
	if err != nil && len(parts) == 0 {
		return shed.ConfigRead{Failed: true}, err
	}
	return shed.ConfigRead{Index: index, Parts: parts}, err
}

// readParts reads the parts not in have, up to the first error.
func (p *Platform) readParts(ctx context.Context, want, have []shed.PartHash) (map[shed.PartHash][]byte, error) {
	parts := map[shed.PartHash][]byte{}
	for _, hash := range want {
		if _, got := parts[hash]; got || slices.Contains(have, hash) {
			continue
		}
		got, err := p.readValue(ctx, rules.PartName(hash), 0, 0)
		if err != nil {
			return parts, err
		}
		if sha256.Sum256(got.data) != hash {
			return parts, fmt.Errorf("%w: contents of part %x do not match its hash", ErrBadReply, hash[:4])
		}
		parts[hash] = got.data
	}
	return parts, nil
}

// VMs reads the list of VMs, which may lag behind.
func (p *Platform) VMs(ctx context.Context) ([]shed.VMEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	got, err := p.get(ctx, wire.PathVMs, maxVMListBytes)
	if err != nil {
		return nil, err
	}
	var entries []wire.VM
	if err := json.Unmarshal(got.data, &entries); err != nil {
		return nil, fmt.Errorf("%w: VM list: %w", ErrBadReply, err)
	}
	vms := make([]shed.VMEntry, len(entries))
	for i, entry := range entries {
		vms[i] = shed.VMEntry{VM: entry.VM, Zone: entry.Zone, Leaving: entry.Leaving}
	}
	return vms, nil
}

type versionedValue struct {
	revision shed.Revision
	data     []byte
	newer    bool
}

func (p *Platform) readValue(ctx context.Context, key string, after shed.Revision, wait time.Duration) (versionedValue, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+p.cfg.Timeout)
	defer cancel()
	path := wire.PathValues + key + "?after=" + strconv.FormatUint(uint64(after), 10)
	if wait > 0 {
		seconds := (wait + time.Second - 1) / time.Second
		path += "&wait=" + strconv.FormatInt(int64(seconds), 10)
	}
	got, err := p.get(ctx, path, maxValueBytes)
	if err != nil {
		return versionedValue{}, err
	}
	n, err := strconv.ParseUint(got.header.Get(wire.HeaderRevision), 10, 64)
	if err != nil {
		return versionedValue{}, fmt.Errorf("%w: missing or invalid header %s", ErrBadReply, wire.HeaderRevision)
	}
	return versionedValue{revision: shed.Revision(n), data: got.data, newer: got.status == http.StatusOK}, nil
}

type response struct {
	status int
	header http.Header
	data   []byte
}

// get makes one call and reads its complete answer, up to limit bytes.
func (p *Platform) get(ctx context.Context, path string, limit int64) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.cfg.URL+path, nil)
	if err != nil {
		return response{}, fmt.Errorf("creating the platform request: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if int64(len(data)) > limit {
		return response{}, fmt.Errorf("%w: longer than %d bytes", ErrBadReply, limit)
	}
	return response{status: resp.StatusCode, header: resp.Header, data: data}, statusError(resp.StatusCode)
}

func statusError(code int) error {
	switch code {
	case http.StatusOK, http.StatusNotModified:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests:
		return ErrBudgetExhausted
	default:
		return fmt.Errorf("%w: status %d", ErrBadReply, code)
	}
}
