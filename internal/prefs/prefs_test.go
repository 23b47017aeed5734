package prefs

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

func TestDefaultsAreRight(t *testing.T) {
	p, err := Parse("")
	require.NoError(t, err)
	require.Equal(t, Defaults(), p)
	require.Equal(t, p.Node.Peer, p.Node.PeerAddress())
}

func TestShownSettingsReadBack(t *testing.T) {
	p := Defaults()
	p.Node.Seeds = []string{"192.0.2.1:7401", "[2001:db8::1]:7401"}
	p.Limits.IdleTimeout = 90*time.Second + 5*time.Millisecond
	p.Listen.Profile = true
	p.Trace = Trace{Exporter: "otlp", Endpoint: "http://192.0.2.9:4318/v1/traces", Ratio: 0.125}
	var b bytes.Buffer
	require.NoError(t, Show(&b, p))
	again, err := Parse(b.String())
	require.NoError(t, err)
	require.Equal(t, p, again)
}

func TestShow(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, Show(&b, Defaults()))
	goldie.New(t).Assert(t, "show", b.Bytes())
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"unknown section", "[limit]\nqueue = 1\n", []string{"[limit]: unknown section"}},
		{"key outside a section", "queue = 1\n", []string{"[DEFAULT]: unknown section"}},
		{"unknown key", "[limits]\nque = 1\n", []string{"[limits] que: unknown key"}},
		{"doubled key", "[limits]\nqueue = 1\nqueue = 1\n", []string{"[limits] queue: given more than once"}},
		{"no number", "[limits]\nqueue = many\n", []string{`[limits] queue: "many" is no whole number`}},
		{"below its bound", "[limits]\nqueue = 0\n", []string{"[limits] queue: 0 is not within 1 to 1000000"}},
		{"not a number at all", "[trace]\nratio = NaN\n", []string{"[trace] ratio: NaN is not within 0 to 1"}},
		{"no unit", "[limits]\nbeat = 5\n", []string{`[limits] beat: "5" is no duration such as 250ms, 5s or 2m`}},
		{"a name for an address", "[node]\npeer = localhost:1\n", []string{`[node] peer: "localhost:1" is no ip:port with an IP number`}},
		{"one bad seed", "[node]\nseeds = 192.0.2.1:7, x\n", []string{`[node] seeds: "x" is no ip:port with an IP number`}},
		{"odd zone", "[node]\nzone = a b\n", []string{`[node] zone: "a b" is no name: 1 to 64 letters, digits, dots, dashes and underscores`}},
		{"empty zone", "[node]\nzone =\n", []string{`[node] zone: "" is no name: 1 to 64 letters, digits, dots, dashes and underscores`}},
		{"wrong scheme", "[platform]\nurl = ftp://192.0.2.1\n", []string{"[platform] url: its scheme is neither http nor https"}},
		{"wrong word", "[log]\nlevel = loud\n", []string{`[log] level: "loud" is none of debug, info, warning, error`}},
		{"wrong decision", "[relay]\nwithout = kv_fetch, all\n", []string{`[relay] without: "all" is none of late_start, kv_fetch, urgent_reserve, server_speed, prefix_subset, result_capacity, intake_limit`}},
		{"no bool", "[listen]\nprofile = yes\n", []string{`[listen] profile: "yes" is neither true nor false`}},
		{"key that faults don't have", "[faults]\nkill = 1\n", []string{"[faults] kill: unknown key"}},
		{
			"all at once", "[limits]\nqueue = 0\n[log]\nlevel = x\n",
			[]string{"[limits] queue: 0 is not within 1 to 1000000", `[log] level: "x" is none of debug, info, warning, error`},
		},
		{"nowhere to be reached", "[node]\npeer = 0.0.0.0:7401\n", []string{"[node] advertise: needed, since peer names no address that others can reach"}},
		{"key without certificate", "[tls]\ncaller_key = k\n", []string{"[tls] caller_cert: caller_cert and caller_key go together"}},
		{"peer key alone", "[tls]\npeer_key = k\n", []string{"[tls] peer_cert: peer_cert, peer_key and peer_ca go together"}},
		{"body as slow as writes", "[limits]\nbody_timeout = 10s\n", []string{"[limits] body_timeout: has to be below write_timeout"}},
		{"traces into no file", "[trace]\nexporter = file\n", []string{"[trace] file: needed for the exporter file"}},
		{"traces to nowhere", "[trace]\nexporter = otlp\n", []string{"[trace] endpoint: needed for the exporter otlp"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, err := Parse(tc.text)
			require.Nil(t, p)
			require.Equal(t, tc.want, faultsOf(err))
		})
	}
}

func faultsOf(err error) []string {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return nil
	}
	var all []string
	for _, e := range joined.Unwrap() {
		var f Fault
		if errors.As(e, &f) {
			all = append(all, f.Error())
		}
	}
	return all
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.ini")
	_, err := Load(path)
	require.ErrorIs(t, err, os.ErrNotExist)

	require.NoError(t, os.WriteFile(path, []byte("[node]\nzone = nl-west-a ; west\n"), 0o600))
	p, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, "nl-west-a", p.Node.Zone)

	require.NoError(t, os.WriteFile(path, []byte("[node\n"), 0o600))
	_, err = Load(path)
	require.ErrorContains(t, err, path)
}

// Each option needs what the page on options prints, and bounds if it is a number.
func TestOptionsAreDescribed(t *testing.T) {
	for _, s := range sections {
		require.NotEmpty(t, s.name)
		require.NotEmpty(t, s.doc, s.name)
		for _, o := range s.options {
			require.NotEmpty(t, o.key)
			require.NotEmpty(t, o.unit, o.key)
			require.NotEmpty(t, o.doc, o.key)
			switch o.field(Defaults()).Kind() {
			case reflect.Int, reflect.Int64, reflect.Float64:
				require.NotEmpty(t, o.min, o.key)
				require.NotEmpty(t, o.max, o.key)
			}
		}
	}
}

func TestPageOnOptions(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, WriteDocs(&b))
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "options", b.Bytes())
}

// No text may crash the parser, and settings that it accepts must read back the same from
// what Show prints.
func FuzzParse(f *testing.F) {
	f.Add("")
	f.Add("[node]\nseeds = 192.0.2.1:1, 192.0.2.2:2\n")
	f.Add("[limits]\nqueue = 9\n[limits]\nqueue = 9\n")
	f.Add("[a.b]\n%(a)s = %(a)s\n")
	f.Add("[trace]\nratio = 1e-9\nfile = \"\"\"a\nb\"\"\"\n")
	f.Add("[tls]\npeer_name = \\\n")
	f.Add("[tls]\ncaller_cert = `a`\ncaller_key = 'b ; c'\n")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Parse(text)
		if err != nil {
			require.Nil(t, p)
			return
		}
		var b bytes.Buffer
		require.NoError(t, Show(&b, p))
		again, err := Parse(b.String())
		require.NoError(t, err, b.String())
		require.Equal(t, p, again)
	})
}
