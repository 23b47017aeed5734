package prefs

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Fault is one wrong setting.
type Fault struct {
	// Section and Key name the setting; Key is empty if the section is wrong.
	Section, Key string
	Reason       string
}

// Error gives section, key and reason.
func (f Fault) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("[%s]: %s", f.Section, f.Reason)
	}
	return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Reason)
}

// Load reads the settings in the file at path. The error joins all faults; each
// one is a Fault, unless the file can't be read or is no INI.
func Load(path string) (*Prefs, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	p, err := Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("settings in %s: %w", path, err)
	}
	return p, nil
}

// Parse reads the settings in text; see Load for the error.
func Parse(text string) (*Prefs, error) {
	// Shadows keep a doubled key, which would else win without a word.
	opts := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}
	file, err := ini.LoadSources(opts, []byte(text))
	if err != nil {
		return nil, fmt.Errorf("no INI: %w", err)
	}
	p := Defaults()
	var faults []error
	for _, s := range file.Sections() {
		faults = append(faults, take(p, s)...)
	}
	if len(faults) == 0 {
		faults = p.check()
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return p, nil
}

// take puts one section of the file into p.
func take(p *Prefs, s *ini.Section) []error {
	known := slices.IndexFunc(sections, func(k section) bool { return k.name == s.Name() })
	if known < 0 {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			return nil
		}
		return []error{Fault{Section: s.Name(), Reason: "unknown section"}}
	}
	var faults []error
	for _, k := range s.Keys() {
		if err := takeKey(p, sections[known].options, k); err != nil {
			faults = append(faults, Fault{Section: s.Name(), Key: k.Name(), Reason: err.Error()})
		}
	}
	return faults
}

func takeKey(p *Prefs, options []option, k *ini.Key) error {
	at := slices.IndexFunc(options, func(o option) bool { return o.key == k.Name() })
	if at < 0 {
		return errors.New("unknown key")
	}
	values := k.ValueWithShadows()
	if len(values) > 1 {
		return errors.New("given more than once")
	}
	if len(values) == 0 {
		return options[at].set(p, "")
	}
	return options[at].set(p, strings.TrimSpace(values[0]))
}

// check finds what is wrong between options.
func (p *Prefs) check() []error {
	var faults []error
	fault := func(section, key, reason string) {
		faults = append(faults, Fault{Section: section, Key: key, Reason: reason})
	}
	if checkAddress(p.Node.PeerAddress(), false) != nil {
		fault("node", "advertise", "needed, since peer names no address that others can reach")
	}
	if (p.TLS.CallerCert == "") != (p.TLS.CallerKey == "") {
		fault("tls", "caller_cert", "caller_cert and caller_key go together")
	}
	peer := []string{p.TLS.PeerCert, p.TLS.PeerKey, p.TLS.PeerCA}
	if slices.Contains(peer, "") && strings.Join(peer, "") != "" {
		fault("tls", "peer_cert", "peer_cert, peer_key and peer_ca go together")
	}
	if p.Limits.BodyTimeout >= p.Limits.WriteTimeout {
		fault("limits", "body_timeout", "has to be below write_timeout")
	}
	if p.Trace.Exporter == "file" && p.Trace.File == "" {
		fault("trace", "file", "needed for the exporter file")
	}
	if p.Trace.Exporter == "otlp" && p.Trace.Endpoint == "" {
		fault("trace", "endpoint", "needed for the exporter otlp")
	}
	return faults
}

// Show prints the settings in force, as a file that Parse takes.
func Show(w io.Writer, p *Prefs) error {
	for i := range sections {
		s := &sections[i]
		if len(s.options) == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "[%s]\n", s.name); err != nil {
			return fmt.Errorf("showing settings: %w", err)
		}
		for j := range s.options {
			o := &s.options[j]
			if _, err := fmt.Fprintf(w, "%s = %s\n", o.key, o.text(p)); err != nil {
				return fmt.Errorf("showing settings: %w", err)
			}
		}
	}
	return nil
}
