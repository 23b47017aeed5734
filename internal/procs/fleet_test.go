package procs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	sample "jasmineshed/examples"
	"jasmineshed/internal/fault"
	"jasmineshed/internal/rules"
	"jasmineshed/internal/single"
	"jasmineshed/internal/stand"
	"jasmineshed/internal/wire"
	"jasmineshed/pkg/client"
)

const (
	perZone = 2
	anyPort = "127.0.0.1:0"
	// completedCalls is the number of calls that a server has completed before the fleet starts,
	// as one that has been up for long.
	completedCalls = "100000"
)

// fleetConfig configures a fleet.
type fleetConfig struct {
	// example names the rules file.
	example string
	// serverProxy may return the address of a proxy between the daemons and a server.
	serverProxy func(id shed.ServerID, addr string) string
	// peerProxy may return the address of a proxy between the i-th daemon and its peers.
	peerProxy func(i int, addr string) string
	// engineArgs holds extra arguments for the engines' stand-ins.
	engineArgs []string
	// limits are those of the daemons' processes.
	limits fault.Limits
	// alone: no other test of this package runs beside this one.
	alone bool
}

// fleet is a complete fleet of processes.
type fleet struct {
	t         *testing.T
	cfg       fleetConfig
	dir       string
	rulesText string
	rules     *shed.Rules

	platform     *process
	platformAddr string
	admin        string
	// servers holds the address of each backend server's own process.
	servers    map[shed.ServerID]string
	vms        []*vm
	startCount int
}

// vm is one daemon, which keeps its addresses over restarts.
type vm struct {
	*process
	index                                int
	zone                                 string
	peer, advertised, callers, operators string
}

// maxFleets bounds how many fleets run at once, each of more than a dozen processes.
const maxFleets = 3

var fleetSlots = make(chan struct{}, maxFleets)

// startFleet starts a fleet that ends with the test. It makes the test parallel unless it runs alone.
func startFleet(t *testing.T, cfg fleetConfig) *fleet {
	t.Helper()
	if !cfg.alone {
		t.Parallel()
	}
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &fleet{t: t, cfg: cfg, dir: t.TempDir(), servers: map[shed.ServerID]string{}}
	f.startPlatform(anyPort)
	f.startServers()
	f.publish(f.rulesText)
	for _, z := range f.zones() {
		for range perZone {
			f.addVM(z)
		}
	}
	f.listVMs()
	for _, v := range f.vms {
		f.startVM(v)
	}
	f.awaitSettled(f.vms...)
	return f
}

func (f *fleet) startProcess(kind, name string, args ...string) *process {
	f.t.Helper()
	f.startCount++
	log := filepath.Join(f.dir, fmt.Sprintf("%02d-%s.log", f.startCount, name))
	var limits fault.Limits
	if kind == "jasmineshed" {
		limits = f.cfg.limits
	}
	return start(f.t, limits, log, kind, args...)
}

// awaitStarted waits for the line in which a stand-in prints its address.
func awaitStarted(p *process) single.Started {
	p.t.Helper()
	return awaitLine(p, func(s single.Started) bool { return s.Addr != "" })
}

func (f *fleet) startPlatform(addr string) {
	f.t.Helper()
	f.platform = f.startProcess("standin", "platform", "platform", "--addr", addr)
	s := awaitStarted(f.platform)
	f.platformAddr, f.admin = s.Addr, "http://"+s.Admin
}

// startServers starts a stand-in for each server of the example and puts its address into the
// rules.
func (f *fleet) startServers() {
	f.t.Helper()
	text, err := sample.Rules(f.cfg.example)
	require.NoError(f.t, err)
	exampleRules, err := rules.Compile(text, 1)
	require.NoError(f.t, err)
	processes := map[shed.ServerID]*process{}
	for id, s := range exampleRules.Servers {
		processes[id] = f.startProcess("standin", string(id), f.serverArgs(exampleRules, s)...)
	}
	var urls []string
	for id, s := range exampleRules.Servers {
		addr := awaitStarted(processes[id]).Addr
		f.servers[id] = addr
		if f.cfg.serverProxy != nil {
			addr = f.cfg.serverProxy(id, addr)
		}
		urls = append(urls, s.URL+",", "http://"+addr+",")
	}
	f.rulesText = strings.NewReplacer(urls...).Replace(string(text))
	f.rules, err = rules.Compile([]byte(f.rulesText), 1)
	require.NoError(f.t, err)
}

func (f *fleet) serverArgs(r *shed.Rules, s *shed.Server) []string {
	pool := r.Pools[s.Pool]
	args := []string{"--id", string(s.ID), "--capacity", strconv.Itoa(s.Capacity), "--done", completedCalls}
	if pool.Kind == shed.KindService {
		return append([]string{"service"}, args...)
	}
	args = append(args,
		"--cold-bears", strconv.Itoa(s.ColdCapacity), "--token-time", "2ms", "--call-time", "5ms",
		"--cache", "256", "--checks-fence="+strconv.FormatBool(s.Fenced))
	if m := r.Models[pool.Model]; m != nil {
		args = append(args, "--model", string(m.ID)+"@"+m.Version, "--role", s.Role)
	}
	return append(append([]string{"engine"}, args...), f.cfg.engineArgs...)
}

func (f *fleet) zones() []string {
	var zones []string
	for z := range f.rules.Zones {
		zones = append(zones, string(z))
	}
	sort.Strings(zones)
	return zones
}

// addVM assigns addresses to a daemon before its start, since the settings of its peers need them.
func (f *fleet) addVM(zone string) {
	f.t.Helper()
	v := &vm{index: len(f.vms), zone: zone, peer: reservePort(f.t), callers: reservePort(f.t), operators: reservePort(f.t)}
	v.advertised = v.peer
	if f.cfg.peerProxy != nil {
		v.advertised = f.cfg.peerProxy(v.index, v.peer)
	}
	f.vms = append(f.vms, v)
}

// startVM starts a daemon, or restarts it at its addresses.
func (f *fleet) startVM(v *vm) {
	f.t.Helper()
	settings := filepath.Join(f.dir, fmt.Sprintf("vm-%d.ini", v.index))
	require.NoError(f.t, os.WriteFile(settings, []byte(f.settings(v)), 0o600))
	v.process = f.startProcess("jasmineshed", fmt.Sprintf("vm-%d", v.index), "serve", "--settings", settings)
	type startLine struct{ Msg string }
	awaitLine(v.process, func(l startLine) bool { return l.Msg == "daemon starts" })
}

func (f *fleet) settings(v *vm) string {
	var seeds []string
	for _, other := range f.vms {
		if other != v {
			seeds = append(seeds, other.advertised)
		}
	}
	return fmt.Sprintf(`[node]
peer = %s
advertise = %s
zone = %s
seeds = %s
[listen]
callers = %s
operators = %s
[platform]
url = http://%s
vm_poll = 1s
[stop]
notice = 1s
drain = 15s
`, v.peer, v.advertised, v.zone, strings.Join(seeds, ", "), v.callers, v.operators, f.platformAddr)
}

// send makes an HTTP call. It returns false unless the status is 200 and the body can be decoded.
func send(method, url string, body []byte, out any) bool {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	c := http.Client{Timeout: 5 * time.Second}
	res, err := c.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return false
	}
	return out == nil || json.Unmarshal(text, out) == nil
}

// publish stores a rules file on the platform as an operator does: first the parts, then the
// index.
func (f *fleet) publish(text string) {
	f.t.Helper()
	index, parts := rules.Pack([]byte(text))
	for hash, part := range parts {
		require.True(f.t, send(http.MethodPut, f.admin+"/admin/values/"+rules.PartName(hash), part, nil))
	}
	require.True(f.t, send(http.MethodPut, f.admin+"/admin/values/"+rules.IndexKey, index, nil))
}

func (f *fleet) listVMs() {
	f.t.Helper()
	var list []wire.VM
	for _, v := range f.vms {
		list = append(list, wire.VM{VM: shed.VM(v.advertised), Zone: shed.ZoneID(v.zone)})
	}
	body, err := json.Marshal(list)
	require.NoError(f.t, err)
	require.True(f.t, send(http.MethodPut, f.admin+"/admin/vms", body, nil))
}

// status is the part of a daemon's status that the tests check.
type status struct {
	Ready         bool          `json:"ready"`
	Stopping      bool          `json:"stopping"`
	ViewConfirmed bool          `json:"view_confirmed"`
	Configuration configuration `json:"configuration"`
	View          []struct {
		Peers []shed.Peer `json:"peers"`
	} `json:"view"`
	Servers []struct {
		Server shed.ServerID `json:"server"`
		Cold   bool          `json:"cold"`
	} `json:"servers"`
}

type configuration struct {
	Revision shed.Revision
	Fresh    bool
}

func (v *vm) status() (status, bool) {
	var s status
	ok := send(http.MethodGet, "http://"+v.operators+"/status", nil, &s)
	return s, ok
}

// ready makes the readiness check of the platform's balancer.
func (v *vm) ready() bool {
	return send(http.MethodGet, v.url()+"/readyz", nil, nil)
}

func (v *vm) url() string { return "http://" + v.callers }

// awaitSettled waits until each daemon is ready, sees all others and considers its zone's servers
// warm.
func (f *fleet) awaitSettled(vms ...*vm) {
	f.t.Helper()
	for _, v := range vms {
		var last status
		await(f.t, func() bool {
			s, ok := v.status()
			last = s
			return ok && v.ready() && s.isSettled(len(f.vms))
		}, "daemon settles", "%s: %+v\n%s", v.name, &last, logOf{v.process})
	}
}

func (s status) isSettled(vms int) bool {
	seen := 0
	for _, z := range s.View {
		seen += len(z.Peers)
	}
	if !s.Ready || seen < vms {
		return false
	}
	for _, server := range s.Servers {
		if server.Cold {
			return false
		}
	}
	return true
}

// recordedRuns returns the runs that a server has recorded.
func (f *fleet) recordedRuns(id shed.ServerID) []stand.Run {
	f.t.Helper()
	var runs []stand.Run
	require.True(f.t, send(http.MethodGet, "http://"+f.servers[id]+single.PathRuns, nil, &runs), "%s", id)
	return runs
}

// publishCounts counts the runs of each request at all plain services.
func (f *fleet) publishCounts() map[string]int {
	f.t.Helper()
	count := map[string]int{}
	for id, s := range f.rules.Servers {
		if f.rules.Pools[s.Pool].Kind != shed.KindService {
			continue
		}
		for _, run := range f.recordedRuns(id) {
			count[run.Request]++
		}
	}
	return count
}

// newClient returns a client of a workspace that may use every pipeline. It calls the first VM
// first.
func (f *fleet) newClient(retries int, vms ...*vm) *client.Client {
	f.t.Helper()
	var urls []string
	for _, v := range vms {
		urls = append(urls, v.url())
	}
	workspace := f.workspace()
	c, err := client.New(client.Config{
		URLs: urls, Workspace: workspace, Token: sample.Token(workspace), MaxRetries: retries,
	})
	require.NoError(f.t, err)
	return c
}

func (f *fleet) workspace() string {
	var open []string
	for id, w := range f.rules.Workspaces {
		if len(w.Pipelines) == 0 {
			open = append(open, string(id))
		}
	}
	require.NotEmpty(f.t, open)
	sort.Strings(open)
	return open[0]
}

// pipelines returns the idempotent pipelines, and those whose requests run at most once.
func (f *fleet) pipelines() (idempotent, once []string) {
	for id, p := range f.rules.Pipelines {
		if p.Idempotent() {
			idempotent = append(idempotent, string(id))
		} else {
			once = append(once, string(id))
		}
	}
	sort.Strings(idempotent)
	sort.Strings(once)
	return idempotent, once
}
