// Package plat implements shed.Platform over HTTP: it reads the configuration
// and the VM list, and can write nothing.
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
	"jasmineshed/internal/rules"
	"jasmineshed/internal/wire"
)

// Limits on what the platform may answer.
const (
	// maxValue is the largest value in bytes, as the platform promises.
	maxValue = 1 << 20
	// maxVMs bounds the VM list, in bytes.
	maxVMs = 1 << 20
	// defaultTimeout bounds a call beyond the time that it waits on purpose.
	defaultTimeout = 3 * time.Second
)

// Errors of the platform's reader.
var (
	// ErrUnreachable: no answer came, or it was cut off.
	ErrUnreachable = errors.New("platform unreachable")
	// ErrBudgetExhausted: the call budget of all readers is spent.
	ErrBudgetExhausted = errors.New("platform call budget spent")
	// ErrNotFound: the platform has no such value.
	ErrNotFound = errors.New("value absent on the platform")
	// ErrBadReply: the answer makes no sense, or a part is not what its hash says.
	ErrBadReply = errors.New("bad reply of the platform")
)

// Config configures a Platform.
type Config struct {
	// URL is the base of the platform's HTTP interface.
	URL string
	// Timeout bounds a call beyond the time that it waits on purpose; 0 means
	// three seconds.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Platform reads the platform. It is safe for use by many goroutines.
type Platform struct {
	cfg    Config
	client *http.Client
}

// New returns a reader of the platform at cfg.URL.
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
			Transport: &http.Transport{
				DialContext:            cfg.Dial,
				MaxIdleConnsPerHost:    4,
				IdleConnTimeout:        time.Minute,
				MaxResponseHeaderBytes: 16 << 10,
				DisableCompression:     true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Close closes idle connections.
func (p *Platform) Close() { p.client.CloseIdleConnections() }

// Config reads the index and those parts that read.Have lacks. If there is
// nothing newer than read.After, the result has no parts, and its revision is
// what the platform holds: equal to read.After confirms it, a lower one shows
// that the platform is stale. Parts that came before an error are in the result beside
// it, so that the next read has fewer to ask for.
func (p *Platform) Config(ctx context.Context, read shed.ReadConfig) (shed.ConfigRead, error) {
	got, err := p.value(ctx, rules.IndexKey, read.After, read.Wait)
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
	parts, err := p.parts(ctx, index.Parts, read.Have)
	if err != nil && len(parts) == 0 {
		return shed.ConfigRead{Failed: true}, err
	}
	return shed.ConfigRead{Index: index, Parts: parts}, err
}

// parts reads those that are not held, up to the first error.
func (p *Platform) parts(ctx context.Context, want, have []shed.PartHash) (map[shed.PartHash][]byte, error) {
	parts := map[shed.PartHash][]byte{}
	for _, hash := range want {
		if _, got := parts[hash]; got || slices.Contains(have, hash) {
			continue
		}
		got, err := p.value(ctx, rules.PartName(hash), 0, 0)
		if err != nil {
			return parts, err
		}
		if sha256.Sum256(got.data) != hash {
			return parts, fmt.Errorf("%w: part %x has other contents", ErrBadReply, hash[:4])
		}
		parts[hash] = got.data
	}
	return parts, nil
}

// VMs reads the lagging list of VMs.
func (p *Platform) VMs(ctx context.Context) ([]shed.VMEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	got, err := p.get(ctx, wire.PathVMs, maxVMs)
	if err != nil {
		return nil, err
	}
	var lines []wire.VM
	if err := json.Unmarshal(got.data, &lines); err != nil {
		return nil, fmt.Errorf("%w: VM list: %w", ErrBadReply, err)
	}
	vms := make([]shed.VMEntry, len(lines))
	for i, line := range lines {
		vms[i] = shed.VMEntry{VM: line.VM, Zone: line.Zone, Leaving: line.Leaving}
	}
	return vms, nil
}

type value struct {
	revision shed.Revision
	data     []byte
	newer    bool
}

func (p *Platform) value(ctx context.Context, key string, after shed.Revision, wait time.Duration) (value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+p.cfg.Timeout)
	defer cancel()
	path := wire.PathValues + key + "?after=" + strconv.FormatUint(uint64(after), 10)
	if wait > 0 {
		seconds := (wait + time.Second - 1) / time.Second
		path += "&wait=" + strconv.FormatInt(int64(seconds), 10)
	}
	got, err := p.get(ctx, path, maxValue)
	if err != nil {
		return value{}, err
	}
	n, err := strconv.ParseUint(got.header.Get(wire.HeaderRevision), 10, 64)
	if err != nil {
		return value{}, fmt.Errorf("%w: no %s", ErrBadReply, wire.HeaderRevision)
	}
	return value{revision: shed.Revision(n), data: got.data, newer: got.status == http.StatusOK}, nil
}

type answer struct {
	status int
	header http.Header
	data   []byte
}

// get makes one call and reads its whole answer, up to limit bytes.
func (p *Platform) get(ctx context.Context, path string, limit int64) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.cfg.URL+path, nil)
	if err != nil {
		return answer{}, fmt.Errorf("platform address: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if int64(len(data)) > limit {
		return answer{}, fmt.Errorf("%w: over %d bytes", ErrBadReply, limit)
	}
	return answer{status: resp.StatusCode, header: resp.Header, data: data}, status(resp.StatusCode)
}

func status(code int) error {
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
