package config

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"sort"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rules"
)

// Bounds on what is fetched from peers and served to them.
const (
	pullTimeout = 400 * time.Millisecond
	maxClaims   = 16
	claimForget = time.Minute
	// patience is how many pulls in a row may bring nothing before the next
	// ones wait longer and longer; messages are lost, too.
	patience = 3
	maxFails = 4
	maxParts = 4096
	maxBytes = 32 << 20
	// pushBytes bounds the parts of one push; the puller asks for the rest. A push has
	// to pass a link of 10 Mbit/s well within pullTimeout: one that doesn't is asked of
	// the next peer before it has come, is no longer wanted when it does, and a large
	// configuration never gets through.
	pushBytes = 64 << 10
	// servesASecond bounds how much a fleet that restarts can ask of one peer.
	servesASecond = 256
	maxRefused    = 8
)

// fetch is what the daemon knows of revisions that peers have.
type fetch struct {
	// claims are peers that said they have a higher revision; at most maxClaims.
	claims []claim
	// to is the peer that was asked to push; "" if none.
	to    shed.VM
	asked time.Time
	// parts already fetched of a revision that is not whole yet. Each was
	// checked against its hash, and the last index to come in lists it.
	parts map[shed.PartHash][]byte
	// refused are the part lists that failed to compile, oldest first.
	refused []verdict
	// served counts pushes since second.
	served int
	second time.Time
}

// verdict is why a list of parts was refused.
type verdict struct {
	list [sha256.Size]byte
	err  error
}

// claim is a peer's word that it has a revision. It may be false: only parts
// that are what their hashes say, and that compile, make it true.
type claim struct {
	from     shed.VM
	revision shed.Revision
	at       time.Time
	// fails counts pulls that brought nothing, in a row.
	fails int
}

// claim notes that a peer says it has a revision.
func (s *State) claim(now time.Time, from shed.VM, rev shed.Revision) {
	if rev <= s.held.index.Revision {
		s.unclaim(from)
		return
	}
	for i := range s.fetch.claims {
		if s.fetch.claims[i].from == from {
			s.fetch.claims[i].revision = rev
			s.fetch.claims[i].at = now
			return
		}
	}
	s.fetch.claims = append(s.fetch.claims, claim{from: from, revision: rev, at: now})
	if len(s.fetch.claims) > maxClaims {
		s.sortClaims()
		s.fetch.claims = s.fetch.claims[:maxClaims]
	}
}

// sortClaims puts the most promising first: few failures before a high number,
// so that a number which nobody can make good never holds up the others.
func (s *State) sortClaims() {
	sort.Slice(s.fetch.claims, func(i, j int) bool {
		a, b := s.fetch.claims[i], s.fetch.claims[j]
		if a.fails != b.fails {
			return a.fails < b.fails
		}
		if a.revision != b.revision {
			return a.revision > b.revision
		}
		return a.from < b.from
	})
}

func (s *State) unclaim(from shed.VM) {
	kept := s.fetch.claims[:0]
	for _, c := range s.fetch.claims {
		if c.from != from {
			kept = append(kept, c)
		}
	}
	s.fetch.claims = kept
}

// behind tells whether a peer has, as it says, a higher revision.
func (s *State) behind() bool { return len(s.fetch.claims) > 0 }

// failed counts a pull against the peer that was asked.
func (s *State) failed(from shed.VM) {
	for i := range s.fetch.claims {
		if s.fetch.claims[i].from == from {
			s.fetch.claims[i].fails++
		}
	}
}

// pullDue asks the most promising peer for its revision, one at a time.
func (s *State) pullDue(now time.Time) []shed.Action {
	f := &s.fetch
	if f.to != "" && now.Sub(f.asked) < pullTimeout {
		return nil
	}
	if f.to != "" {
		s.failed(f.to)
		f.to = ""
	}
	s.forgetClaims(now)
	if len(f.claims) == 0 {
		return nil
	}
	s.sortClaims()
	best := f.claims[0]
	tired := max(0, best.fails-patience)
	if now.Sub(f.asked) < pullTimeout<<min(tired, maxFails) && tired > 0 {
		return nil
	}
	return s.pull(now, best.from)
}

func (s *State) forgetClaims(now time.Time) {
	kept := s.fetch.claims[:0]
	for _, c := range s.fetch.claims {
		if now.Sub(c.at) < claimForget && c.revision > s.held.index.Revision {
			kept = append(kept, c)
		}
	}
	s.fetch.claims = kept
}

func (s *State) pull(now time.Time, to shed.VM) []shed.Action {
	s.fetch.to = to
	s.fetch.asked = now
	s.counts.Pulls++
	return []shed.Action{shed.SendPeer{To: to, Message: shed.ConfigPull{Have: s.have()}}}
}

// have lists the parts that need not be sent again, sorted.
func (s *State) have() []shed.PartHash {
	if len(s.fetch.parts) == 0 {
		return s.held.list
	}
	list := append(sortedHashes(s.fetch.parts), s.held.list...)
	slices.SortFunc(list, compareHashes)
	return slices.Compact(list)
}

func sortedHashes(parts map[shed.PartHash][]byte) []shed.PartHash {
	list := make([]shed.PartHash, 0, len(parts))
	for hash := range parts {
		list = append(list, hash)
	}
	slices.SortFunc(list, compareHashes)
	return list
}

func compareHashes(a, b shed.PartHash) int { return bytes.Compare(a[:], b[:]) }

// serve answers a pull with the revision in force.
func (s *State) serve(now time.Time, to shed.VM, m shed.ConfigPull) []shed.Action {
	f := &s.fetch
	if s.held.rules == nil || len(m.Have) > 2*maxParts {
		return nil
	}
	if now.Sub(f.second) >= time.Second {
		f.second, f.served = now, 0
	}
	if f.served >= servesASecond {
		return nil
	}
	f.served++
	s.counts.Served++
	have := make(map[shed.PartHash]bool, len(m.Have))
	for _, hash := range m.Have {
		have[hash] = true
	}
	push := shed.ConfigPush{Index: s.held.index, Parts: map[shed.PartHash][]byte{}}
	size := 0
	for _, hash := range s.held.index.Parts {
		part := s.held.parts[hash]
		if have[hash] || size > 0 && size+len(part) > pushBytes {
			continue
		}
		push.Parts[hash] = part
		have[hash] = true
		size += len(part)
	}
	return []shed.Action{shed.SendPeer{To: to, Message: push}}
}

// pushed takes in a peer's revision, or some parts of it.
func (s *State) pushed(now time.Time, from shed.VM, m shed.ConfigPush) []shed.Action {
	f := &s.fetch
	if m.Index.Revision <= s.held.index.Revision {
		return nil
	}
	if from != f.to || len(m.Index.Parts) == 0 || len(m.Index.Parts) > maxParts {
		s.counts.BadPushes++
		return nil
	}
	f.to = ""
	before := len(f.parts)
	parts, whole := s.collect(m.Index, m.Parts)
	f.parts = s.apart(parts)
	if whole {
		return s.takePushed(now, from, m.Index, parts)
	}
	if len(f.parts) <= before {
		s.counts.BadPushes++
		s.failed(from)
		return s.pullDue(now)
	}
	return s.pull(now, from)
}

// apart are the parts that the revision in force does not hold already.
func (s *State) apart(parts map[shed.PartHash][]byte) map[shed.PartHash][]byte {
	list := map[shed.PartHash][]byte{}
	for hash, part := range parts {
		if _, held := s.held.parts[hash]; !held {
			list[hash] = part
		}
	}
	return list
}

// collect puts together what is at hand of an index's parts, and tells whether
// that is all of them. A part that is not what its hash says is left out.
func (s *State) collect(index shed.ConfigIndex, fresh map[shed.PartHash][]byte) (map[shed.PartHash][]byte, bool) {
	parts := make(map[shed.PartHash][]byte, len(index.Parts))
	if len(index.Parts) == 0 || len(index.Parts) > maxParts {
		return parts, false
	}
	whole := true
	size := 0
	for _, hash := range index.Parts {
		if _, twice := parts[hash]; twice {
			continue
		}
		part, ok := s.part(hash, fresh)
		size += len(part)
		if !ok || size > maxBytes {
			whole = false
			continue
		}
		parts[hash] = part
	}
	return parts, whole
}

func (s *State) part(hash shed.PartHash, fresh map[shed.PartHash][]byte) ([]byte, bool) {
	if part, ok := s.held.parts[hash]; ok {
		return part, true
	}
	if part, ok := s.fetch.parts[hash]; ok {
		return part, true
	}
	part, ok := fresh[hash]
	if !ok || sha256.Sum256(part) != hash {
		return nil, false
	}
	return part, true
}

// takePushed takes a whole revision from a peer, if it compiles.
func (s *State) takePushed(now time.Time, from shed.VM, index shed.ConfigIndex, parts map[shed.PartHash][]byte) []shed.Action {
	compiled, err := s.compile(index, parts)
	if err != nil {
		s.counts.BadPushes++
		s.failed(from)
		s.fetch.parts = nil
		return append([]shed.Action{shed.Note{Reason: shed.ReasonConfigInvalid, Peer: from}}, s.pullDue(now)...)
	}
	return s.take(now, index, parts, compiled, from)
}

// compile judges a text once: the same parts get the same verdict, so a peer
// that pushes what was refused costs no second compilation.
func (s *State) compile(index shed.ConfigIndex, parts map[shed.PartHash][]byte) (*shed.Rules, error) {
	id := listHash(index)
	for _, refused := range s.fetch.refused {
		if refused.list == id {
			return nil, refused.err
		}
	}
	text, err := rules.Join(index, parts)
	if err != nil {
		return nil, err
	}
	compiled, err := s.cfg.Compile(text, index.Revision)
	if err == nil {
		return compiled, nil
	}
	s.fetch.refused = append(s.fetch.refused, verdict{id, err})
	if len(s.fetch.refused) > maxRefused {
		s.fetch.refused = s.fetch.refused[1:]
	}
	return nil, err
}

func listHash(index shed.ConfigIndex) [sha256.Size]byte {
	h := sha256.New()
	for _, hash := range index.Parts {
		_, _ = h.Write(hash[:])
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// take puts a whole, compiled revision in force and tells the peers. From is
// the peer that it came from, or "" for the platform.
func (s *State) take(now time.Time, index shed.ConfigIndex, parts map[shed.PartHash][]byte, compiled *shed.Rules, from shed.VM) []shed.Action {
	s.held = held{rules: compiled, index: index, parts: parts, list: sortedHashes(parts)}
	s.counts.Applied++
	if s.reads.invalid < index.Revision {
		s.reads.invalid, s.reads.faults = 0, ""
		s.reads.settled = time.Time{}
	}
	s.fetch.parts = nil
	s.forgetClaims(now)
	if p := s.fresh.promise; p.revision != 0 && p.revision <= index.Revision {
		s.fresh.promise = promise{}
		s.confirm(p.revision, p.at)
	}
	out := []shed.Action{shed.RulesInForce{Rules: compiled}}
	out = append(out, s.spread(now, from)...)
	return append(out, s.pullDue(now)...)
}

// spread tells of a new revision: each daemon tells its children, and whoever
// got it from outside the zone also tells the watchers and the other zones.
func (s *State) spread(now time.Time, from shed.VM) []shed.Action {
	to := append([]shed.VM(nil), s.near.below...)
	if s.near.level == 0 || !has(s.near.ring, from) {
		to = append(to, s.near.watchers(s.cfg.Watchers)...)
		to = append(to, s.farContacts(everyZone)...)
	}
	told := map[shed.VM]bool{s.cfg.Self.VM: true, from: true, "": true}
	var out []shed.Action
	for _, vm := range to {
		if !told[vm] {
			told[vm] = true
			out = append(out, shed.SendPeer{To: vm, Message: s.Digest(now)})
		}
	}
	return out
}

func sortedVMs(set map[shed.VM]bool) []shed.VM {
	list := make([]shed.VM, 0, len(set))
	for vm := range set {
		list = append(list, vm)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
