package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/prefs"

	"github.com/sirupsen/logrus"
)

const (
	// surveyTimeout bounds the call that asks a server for its free result capacity.
	surveyTimeout = 200 * time.Millisecond
	// maxReport bounds the answer, in bytes.
	maxReport = 16 << 10
)

// errNoReport: a server was not asked or did not answer with a report.
var errNoReport = errors.New("no report")

// batchLimits returns the limits of a pool that runs pieces. Without the largest result, its result
// capacity isn't part of forecasts and servers aren't asked for it.
func (r *Relay) batchLimits(pool *shed.RelayPool) shed.BatchLimits {
	l := *pool.Batch
	if !r.prefs.Load().Relay.Enabled(prefs.ResultCapacity) {
		l.LargestResult = 0
	}
	return l
}

// startSurvey asks a server for its free result capacity. The caller holds mu.
func (r *Relay) startSurvey(a batch.Survey) {
	server := r.roster.OpenServerAt(a.Server.Addr)
	// At a limited or resting server the call would take the place of a call for pieces.
	skipped := server == nil || r.isLimited(server) || r.access.IsRested(server.Start())
	r.work.Go(func() error {
		end := batch.SurveyEnded{Survey: a}
		report, err := shed.ServerReport{}, errNoReport
		if !skipped {
			report, err = r.sendSurvey(a.Server)
		}
		end.Answered, end.FreeBytes = err == nil, report.FreeBytes
		r.finishSurvey(end, err)
		return nil
	})
}

func (r *Relay) finishSurvey(end batch.SurveyEnded, err error) {
	now := time.Now()
	r.mu.Lock()
	r.performBatch(r.batcher.Handle(now, end))
	unknown := r.batcher.UnknownBytes(now, end.Server.ID)
	r.mu.Unlock()
	r.log.WithFields(logrus.Fields{
		"server": end.Server.ID, "pool": end.Pool, "answered": end.Answered, "free_bytes": end.FreeBytes, "held_bytes": unknown,
		"error": errorText(err),
	}).Info("server asked for its free result capacity")
}

func (r *Relay) sendSurvey(server shed.ServerEntry) (shed.ServerReport, error) {
	ctx, cancel := r.withTimeout(r.base, surveyTimeout)
	defer cancel()
	req, err := r.cfg.Dialect.NewReportRequest(server)
	if err != nil {
		return shed.ServerReport{}, err
	}
	body, err := r.query(ctx, server, req, maxReport)
	if err != nil {
		return shed.ServerReport{}, err
	}
	return r.cfg.Dialect.ParseReport(body)
}

// query asks a server for its state and returns the answer, of which it reads up to limit bytes.
func (r *Relay) query(ctx context.Context, server shed.ServerEntry, req *http.Request, limit int64) ([]byte, error) {
	resp, _, _, err := r.send(&exchange{server: server, patience: plainPatience}, req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", errNoReport, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("report of %s: %w", server.ID, err)
	}
	return body, nil
}

// wakeBatcher lets the batcher act after a time: its ticks are too far apart for calls that wait for
// a survey.
func (r *Relay) wakeBatcher(after time.Duration) {
	r.work.Go(func() error {
		sleep(r.base, after)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.performBatch(r.batcher.Handle(time.Now(), batch.Tick{}))
		return nil
	})
}
