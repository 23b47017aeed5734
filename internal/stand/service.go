package stand

import (
	"net/http"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/wire"
)

// ServiceFault is the fault that a plain service injects into one call.
type ServiceFault uint8

// The faults of a call to a plain service.
const (
	ServiceOK ServiceFault = iota
	// ServiceFailsBefore answers that the call was not run.
	ServiceFailsBefore
	// ServiceFailsAfter runs the call and answers with an error.
	ServiceFailsAfter
	// ServiceAborts runs the call and closes the connection without an answer.
	ServiceAborts
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	ID shed.ServerID
	// Capacity is how many calls run at once; 0 means 8.
	Capacity int
	// PriorCalls is how many calls it had completed before the test began.
	PriorCalls uint64
	// CallTime is the duration of one call.
	CallTime time.Duration
}

// Service stands in for a plain service, whose calls may not be idempotent.
type Service struct {
	Faults
	Record
	cfg ServiceConfig
	mux *http.ServeMux

	mu         sync.Mutex
	running    int
	sequence   uint64
	done       uint64
	nextFaults []ServiceFault
}

// NewService returns a service without faults.
func NewService(cfg ServiceConfig) *Service {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	s := &Service{cfg: cfg, mux: http.NewServeMux(), done: cfg.PriorCalls}
	s.mux.HandleFunc("POST "+wire.PathCall, s.serveCall)
	s.mux.HandleFunc("GET "+wire.PathLoad, s.serveLoad)
	return s
}

// ServeHTTP serves the requests of daemons.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.applyFaults(r.Context())
	s.mux.ServeHTTP(w, r)
}

// InjectFaults queues faults for the next calls, one for each call.
func (s *Service) InjectFaults(faults ...ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextFaults = append(s.nextFaults, faults...)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	var req wire.ServiceRequest
	if !readBody(w, r, &req) {
		return
	}
	run := newRun(r, time.Now())
	run.Request = string(req.Request)
	fault, admitted := s.beginCall(run)
	if !admitted {
		s.recordRefusal()
		w.Header().Set("Retry-After", "1")
		replyNotRun(w, http.StatusServiceUnavailable, "not run")
		return
	}
	w.Header().Set(wire.HeaderBoot, s.bootID())
	w.WriteHeader(http.StatusEarlyHints)
	// The call runs to its end even if the caller has disconnected, as a publication that
	// has started does.
	<-time.After(s.cfg.CallTime)
	s.endCall(run)
	switch fault {
	case ServiceFailsAfter:
		reply(w, http.StatusInternalServerError, wire.ErrorReply{Message: "failed after the run"})
	case ServiceAborts:
		panic(http.ErrAbortHandler)
	default:
		reply(w, http.StatusOK, wire.ServiceResponse{Receipt: Receipt(req.Request, req.Input)})
	}
}

func (s *Service) beginCall(run *Run) (ServiceFault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := ServiceOK
	if len(s.nextFaults) > 0 {
		fault = s.nextFaults[0]
		s.nextFaults = s.nextFaults[1:]
	}
	if fault == ServiceFailsBefore || s.running >= s.cfg.Capacity {
		return fault, false
	}
	s.running++
	s.Record.beginCall(run)
	return fault, true
}

func (s *Service) endCall(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.done++
	s.Record.endCall(run, time.Now(), true, false, 0)
}

// bootID returns a constant: a service stand-in doesn't restart.
func (s *Service) bootID() string { return string(s.cfg.ID) + "-0" }

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.sequence++
	load := wire.Load{
		Boot:     s.bootID(),
		Sequence: s.sequence,
		Running:  s.running,
		Warm:     true,
		Done:     s.done,
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, load)
}
