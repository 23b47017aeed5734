package gauge

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"jasmineshed/internal/route"
)

// ErrScenario means that a scenario file can't be used.
var ErrScenario = errors.New("scenario can't be used")

// Scenario is one experiment.
type Scenario struct {
	Name  string
	About string
	// Seed of arrivals and of the fleet.
	Seed uint64
	// Duration of the arrivals; answers are waited for afterwards.
	Duration time.Duration
	// Rate of arrivals a second, outside bursts.
	Rate float64
	// Policy that picks servers; see route.NewPolicy.
	Policy string
	// Tokens that each generate stage is asked for.
	Tokens int
	Fleet  FleetSize
	// Pipelines and Workspaces share the arrivals by weight.
	Pipelines  []Share
	Workspaces []Share
	Bursts     []Burst
	// Events in order of their time.
	Events []Event
}

// FleetSize is the size of the fleet.
type FleetSize struct {
	Zones int
	// Daemons, Drafters (language models) and OtherServers (of each other pool) are
	// counts in each zone.
	Daemons, Drafters, OtherServers int
	// Capacity and ColdCapacity of a drafter.
	Capacity, ColdCapacity int
	// WarmAfter calls a drafter is warm; 0 starts warm.
	WarmAfter int
	// TokenTime of a drafter with one call.
	TokenTime time.Duration
	// CallTime of the others.
	CallTime time.Duration
}

// Share weighs a pipeline or a workspace among the arrivals.
type Share struct {
	Name   string
	Weight float64
}

// Burst multiplies the rate for some time.
type Burst struct {
	Name     string
	At       time.Duration
	Duration time.Duration
	Factor   float64
}

// EventKind is what happens to the fleet. The set is closed.
type EventKind string

// The kinds of event.
const (
	EventZoneClosed      EventKind = "zone_out"
	EventZoneReopened    EventKind = "zone_back"
	EventZonePartitioned EventKind = "zone_cut"
	EventZoneHealed      EventKind = "zone_heal"
	EventServerCold      EventKind = "server_cold"
	EventServerSlow      EventKind = "server_slow"
	EventServerNormal    EventKind = "server_well"
	EventRollingRestart  EventKind = "rolling_restart"
	EventPlatformDown    EventKind = "platform_down"
	EventPlatformUp      EventKind = "platform_up"
	EventSupplierLeaving EventKind = "supplier_leaving"
)

// eventKinds tells which kinds need a target.
var eventKinds = map[EventKind]bool{
	EventZoneClosed:      true,
	EventZoneReopened:    true,
	EventZonePartitioned: true,
	EventZoneHealed:      true,
	EventServerCold:      true,
	EventServerSlow:      true,
	EventServerNormal:    true,
	EventRollingRestart:  false,
	EventPlatformDown:    false,
	EventPlatformUp:      false,
	EventSupplierLeaving: true,
}

// Event is something done to the fleet.
type Event struct {
	Name   string
	At     time.Duration
	Kind   EventKind
	Target string
}

// ParseScenario reads the text of a scenario file. It fails with ErrScenario.
func ParseScenario(text []byte) (Scenario, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false}, text)
	if err != nil {
		return Scenario{}, fmt.Errorf("%w: %w", ErrScenario, err)
	}
	r := &reader{file: file, used: map[string]bool{}}
	s := r.scenario()
	r.leftovers()
	if len(r.faults) > 0 {
		return Scenario{}, fmt.Errorf("%w: %w", ErrScenario, errors.Join(r.faults...))
	}
	return s, nil
}

// reader gathers every fault of a file.
type reader struct {
	file   *ini.File
	used   map[string]bool
	faults []error
}

func (r *reader) scenario() Scenario {
	s := Scenario{
		Name:     r.text("scenario", "name", ""),
		About:    r.text("scenario", "about", ""),
		Seed:     uint64(r.number("scenario", "seed", 1)),
		Duration: r.time("scenario", "duration", 20*time.Second),
		Rate:     r.real("scenario", "rate", 50),
		Policy:   r.text("scenario", "policy", route.NameAffinity),
		Tokens:   r.number("scenario", "tokens", 24),
		Fleet: FleetSize{
			Zones:        r.number("fleet", "zones", 3),
			Daemons:      r.number("fleet", "daemons", 3),
			Drafters:     r.number("fleet", "drafters", 4),
			OtherServers: r.number("fleet", "others", 1),
			Capacity:     r.number("fleet", "capacity", 8),
			ColdCapacity: r.number("fleet", "cold_bears", 2),
			WarmAfter:    r.number("fleet", "warm_after", 20),
			TokenTime:    r.time("fleet", "token_time", 10*time.Millisecond),
			CallTime:     r.time("fleet", "call_time", 10*time.Millisecond),
		},
		Pipelines:  r.shares("pipelines"),
		Workspaces: r.shares("workspaces"),
		Bursts:     r.bursts(),
		Events:     r.events(),
	}
	if s.Name == "" || len(s.Pipelines) == 0 || len(s.Workspaces) == 0 {
		r.fault("name, [pipelines] and [workspaces] are needed")
	}
	if s.Duration <= 0 || s.Rate <= 0 {
		r.fault("duration and rate must be above 0")
	}
	if _, err := route.NewPolicy(s.Policy, 0); err != nil {
		r.faults = append(r.faults, err)
	}
	return s
}

func (r *reader) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Errorf(format, args...))
}

func (r *reader) text(section, key, otherwise string) string {
	r.used[section+"."+key] = true
	return r.file.Section(section).Key(key).MustString(otherwise)
}

func (r *reader) number(section, key string, otherwise int) int {
	text := r.text(section, key, strconv.Itoa(otherwise))
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		r.fault("%s: %s: %q is no count", section, key, text)
	}
	return n
}

func (r *reader) real(section, key string, otherwise float64) float64 {
	text := r.text(section, key, strconv.FormatFloat(otherwise, 'g', -1, 64))
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		r.fault("%s: %s: %q is no number", section, key, text)
	}
	return x
}

func (r *reader) time(section, key string, otherwise time.Duration) time.Duration {
	return r.duration(section+": "+key, r.text(section, key, otherwise.String()))
}

func (r *reader) duration(where, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		r.fault("%s: %q is no time", where, text)
	}
	return d
}

// keys gives the keys of a section of free names.
func (r *reader) keys(section string) []*ini.Key {
	keys := r.file.Section(section).Keys()
	for _, key := range keys {
		r.used[section+"."+key.Name()] = true
	}
	return keys
}

func (r *reader) shares(section string) []Share {
	var shares []Share
	for _, key := range r.keys(section) {
		weight, err := strconv.ParseFloat(key.String(), 64)
		if err != nil || weight <= 0 {
			r.fault("%s: %s: %q is no weight", section, key.Name(), key)
		}
		shares = append(shares, Share{Name: key.Name(), Weight: weight})
	}
	return shares
}

// bursts reads lines like "surge = 2 at 8s for 4s".
func (r *reader) bursts() []Burst {
	var bursts []Burst
	for _, key := range r.keys("bursts") {
		where := "bursts: " + key.Name()
		f := strings.Fields(key.String())
		if len(f) != 5 || f[1] != "at" || f[3] != "for" {
			r.fault("%s: want FACTOR at TIME for TIME", where)
			continue
		}
		factor, err := strconv.ParseFloat(f[0], 64)
		if err != nil || factor <= 0 {
			r.fault("%s: %q is no factor", where, f[0])
		}
		bursts = append(bursts, Burst{
			Name:     key.Name(),
			At:       r.duration(where, f[2]),
			Duration: r.duration(where, f[4]),
			Factor:   factor,
		})
	}
	return bursts
}

// events reads lines like "leave = 10s zone_out nl-west-a".
func (r *reader) events() []Event {
	var events []Event
	for _, key := range r.keys("events") {
		where := "events: " + key.Name()
		f := strings.Fields(key.String())
		if len(f) < 2 {
			r.fault("%s: want TIME KIND TARGET", where)
			continue
		}
		ev := Event{Name: key.Name(), At: r.duration(where, f[0]), Kind: EventKind(f[1])}
		needs, known := eventKinds[ev.Kind]
		if !known || needs != (len(f) == 3) {
			r.fault("%s: %q is no event, or its target is wrong", where, key)
			continue
		}
		if needs {
			ev.Target = f[2]
		}
		if n := len(events); n > 0 && events[n-1].At > ev.At {
			r.fault("%s: earlier than the event before it", where)
		}
		events = append(events, ev)
	}
	return events
}

// leftovers refuses keys that nothing reads, which are mistyped.
func (r *reader) leftovers() {
	for _, section := range r.file.Sections() {
		for _, key := range section.Keys() {
			if !r.used[section.Name()+"."+key.Name()] {
				r.fault("%s: %s: unknown key", section.Name(), key.Name())
			}
		}
	}
}
