package stand

import (
	"net/http"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/wire"
)

// ServiceFault is what goes wrong with one call of a plain service.
type ServiceFault uint8

// The faults of a plain service's call.
const (
	ServiceOK ServiceFault = iota
	// ServiceFailsBefore: answers that it has not run the call.
	ServiceFailsBefore
	// ServiceFailsAfter: runs the call and answers with an error.
	ServiceFailsAfter
	// ServiceAborts: runs the call and cuts the connection.
	ServiceAborts
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	ID shed.ServerID
	// Capacity is how many calls run at once; 0 means 8.
	Capacity int
	// PriorCalls is how many calls it had completed before the test began.
	PriorCalls uint64
	// CallTime is the time of one call.
	CallTime time.Duration
}

// Service stands in for a plain service, some of whose calls may not be
// repeated.
type Service struct {
	Faults
	Record
	cfg ServiceConfig
	mux *http.ServeMux

	mu       sync.Mutex
	running  int
	sequence uint64
	done     uint64
	next     []ServiceFault
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

// ServeHTTP serves the daemons.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.pass(r.Context())
	s.mux.ServeHTTP(w, r)
}

// InjectFaults sets what goes wrong with the next calls, one each.
func (s *Service) InjectFaults(faults ...ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = append(s.next, faults...)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	var ask wire.ServiceRequest
	if !read(w, r, &ask) {
		return
	}
	run := newRun(r, time.Now())
	run.Request = string(ask.Request)
	fault, admitted := s.begin(run)
	if !admitted {
		s.refuse()
		w.Header().Set("Retry-After", "1")
		notRun(w, http.StatusServiceUnavailable, "not run")
		return
	}
	w.Header().Set(wire.HeaderBoot, s.bootID())
	w.WriteHeader(http.StatusEarlyHints)
	// The call runs to its end also when the caller has gone, as a publication
	// does once it is under way.
	<-time.After(s.cfg.CallTime)
	s.end(run)
	switch fault {
	case ServiceFailsAfter:
		reply(w, http.StatusInternalServerError, wire.ErrorReply{Message: "failed after the run"})
	case ServiceAborts:
		panic(http.ErrAbortHandler)
	default:
		reply(w, http.StatusOK, wire.ServiceResponse{Receipt: Receipt(ask.Request, ask.Input)})
	}
}

func (s *Service) begin(run *Run) (ServiceFault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := ServiceOK
	if len(s.next) > 0 {
		fault = s.next[0]
		s.next = s.next[1:]
	}
	if fault == ServiceFailsBefore || s.running >= s.cfg.Capacity {
		return fault, false
	}
	s.running++
	s.Record.begin(run)
	return fault, true
}

func (s *Service) end(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.done++
	s.Record.end(run, time.Now(), true, false, 0)
}

// bootID never changes: a service stand-in doesn't restart.
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
