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
	claimTTL    = time.Minute
	// maxFreeFails is how many pulls in a row may fail before backoff begins; messages get
	// lost, too.
	maxFreeFails        = 3
	maxPullBackoffShift = 4
	maxParts            = 4096
	maxBytes            = 32 << 20
	// pushBytes bounds the parts of one push; the puller requests the rest. A push has to
	// pass a link of 10 Mbit/s well within pullTimeout: one that doesn't is requested from
	// the next peer before it arrives and refused when it does, and a large configuration
	// never gets through.
	pushBytes = 64 << 10
	// maxServesPerSecond bounds the load that a restarting fleet puts on one peer.
	maxServesPerSecond = 256
	maxRefused         = 8
)

// fetch is what the daemon knows of the revisions of its peers.
type fetch struct {
	// claims lists the peers that claim to have a higher revision; at most maxClaims.
	claims []claim
	// pullPeer is the peer with an unanswered pull; "" if none.
	pullPeer shed.VM
	pulledAt time.Time
	// parts already fetched of a revision that is not complete yet. Each was checked against
	// its hash, and the last received index lists it.
	parts map[shed.PartHash][]byte
	// refused are the part lists that failed to compile, oldest first.
	refused []refusal
	// served counts pushes since windowStart.
	served      int
	windowStart time.Time
}

// refusal is why a list of parts was refused.
type refusal struct {
	listHash [sha256.Size]byte
	err      error
}

// claim is a peer's statement that it has a revision. It may be false: it counts only
// once parts that match their hashes were received and compiled.
type claim struct {
	from     shed.VM
	revision shed.Revision
	at       time.Time
	// fails counts consecutive failed pulls.
	fails int
}

// addClaim records that a peer claims to have a revision.
func (s *State) addClaim(now time.Time, from shed.VM, rev shed.Revision) {
	if rev <= s.current.index.Revision {
		s.removeClaim(from)
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

// sortClaims puts the most promising claims first: few failures before a high revision,
// so that a claimed revision which no peer can deliver never delays the others.
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

func (s *State) removeClaim(from shed.VM) {
	kept := s.fetch.claims[:0]
	for _, c := range s.fetch.claims {
		if c.from != from {
			kept = append(kept, c)
		}
	}
	s.fetch.claims = kept
}

// isStale reports whether a peer claims to have a higher revision.
func (s *State) isStale() bool { return len(s.fetch.claims) > 0 }

// recordFailure counts a failed pull against the peer.
func (s *State) recordFailure(from shed.VM) {
	for i := range s.fetch.claims {
		if s.fetch.claims[i].from == from {
			s.fetch.claims[i].fails++
		}
	}
}

// pullIfDue pulls from the most promising peer, one pull at a time.
func (s *State) pullIfDue(now time.Time) []shed.Action {
	f := &s.fetch
	if f.pullPeer != "" && now.Sub(f.pulledAt) < pullTimeout {
		return nil
	}
	if f.pullPeer != "" {
		s.recordFailure(f.pullPeer)
		f.pullPeer = ""
	}
	s.pruneClaims(now)
	if len(f.claims) == 0 {
		return nil
	}
	s.sortClaims()
	best := f.claims[0]
	backoffShift := max(0, best.fails-maxFreeFails)
	if now.Sub(f.pulledAt) < pullTimeout<<min(backoffShift, maxPullBackoffShift) && backoffShift > 0 {
		return nil
	}
	return s.pull(now, best.from)
}

func (s *State) pruneClaims(now time.Time) {
	kept := s.fetch.claims[:0]
	for _, c := range s.fetch.claims {
		if now.Sub(c.at) < claimTTL && c.revision > s.current.index.Revision {
			kept = append(kept, c)
		}
	}
	s.fetch.claims = kept
}

func (s *State) pull(now time.Time, to shed.VM) []shed.Action {
	s.fetch.pullPeer = to
	s.fetch.pulledAt = now
	s.counts.Pulls++
	return []shed.Action{shed.SendPeer{To: to, Message: shed.ConfigPull{Have: s.have()}}}
}

// have lists the parts that need not be sent again, sorted.
func (s *State) have() []shed.PartHash {
	if len(s.fetch.parts) == 0 {
		return s.current.hashes
	}
	list := append(sortedHashes(s.fetch.parts), s.current.hashes...)
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

// handlePull answers a pull with the revision in force.
func (s *State) handlePull(now time.Time, to shed.VM, m shed.ConfigPull) []shed.Action {
	f := &s.fetch
	if s.current.rules == nil || len(m.Have) > 2*maxParts {
		return nil
	}
	if now.Sub(f.windowStart) >= time.Second {
		f.windowStart, f.served = now, 0
	}
	if f.served >= maxServesPerSecond {
		return nil
	}
	f.served++
	s.counts.Served++
	have := make(map[shed.PartHash]bool, len(m.Have))
	for _, hash := range m.Have {
		have[hash] = true
	}
	push := shed.ConfigPush{Index: s.current.index, Parts: map[shed.PartHash][]byte{}}
	size := 0
	for _, hash := range s.current.index.Parts {
		part := s.current.parts[hash]
		if have[hash] || size > 0 && size+len(part) > pushBytes {
			continue
		}
		push.Parts[hash] = part
		have[hash] = true
		size += len(part)
	}
	return []shed.Action{shed.SendPeer{To: to, Message: push}}
}

// handlePush processes a push with a peer's revision or some parts of it.
func (s *State) handlePush(now time.Time, from shed.VM, m shed.ConfigPush) []shed.Action {
	f := &s.fetch
	if m.Index.Revision <= s.current.index.Revision {
		return nil
	}
	if from != f.pullPeer || len(m.Index.Parts) == 0 || len(m.Index.Parts) > maxParts {
		s.counts.BadPushes++
		return nil
	}
	f.pullPeer = ""
	before := len(f.parts)
	parts, complete := s.collectParts(m.Index, m.Parts)
	f.parts = s.missingParts(parts)
	if complete {
		return s.applyPushed(now, from, m.Index, parts)
	}
	if len(f.parts) <= before {
		s.counts.BadPushes++
		s.recordFailure(from)
		return s.pullIfDue(now)
	}
	return s.pull(now, from)
}

// missingParts returns the parts that the revision in force doesn't contain.
func (s *State) missingParts(parts map[shed.PartHash][]byte) map[shed.PartHash][]byte {
	missing := map[shed.PartHash][]byte{}
	for hash, part := range parts {
		if _, held := s.current.parts[hash]; !held {
			missing[hash] = part
		}
	}
	return missing
}

// collectParts returns the available parts of an index and whether these are all of
// them. A part that doesn't match its hash is left out.
func (s *State) collectParts(index shed.ConfigIndex, received map[shed.PartHash][]byte) (map[shed.PartHash][]byte, bool) {
	parts := make(map[shed.PartHash][]byte, len(index.Parts))
	if len(index.Parts) == 0 || len(index.Parts) > maxParts {
		return parts, false
	}
	complete := true
	size := 0
	for _, hash := range index.Parts {
		if _, duplicate := parts[hash]; duplicate {
			continue
		}
		part, ok := s.findPart(hash, received)
		size += len(part)
		if !ok || size > maxBytes {
			complete = false
			continue
		}
		parts[hash] = part
	}
	return parts, complete
}

func (s *State) findPart(hash shed.PartHash, received map[shed.PartHash][]byte) ([]byte, bool) {
	if part, ok := s.current.parts[hash]; ok {
		return part, true
	}
	if part, ok := s.fetch.parts[hash]; ok {
		return part, true
	}
	part, ok := received[hash]
	if !ok || sha256.Sum256(part) != hash {
		return nil, false
	}
	return part, true
}

// applyPushed applies a complete revision from a peer if it compiles.
func (s *State) applyPushed(now time.Time, from shed.VM, index shed.ConfigIndex, parts map[shed.PartHash][]byte) []shed.Action {
	compiled, err := s.compile(index, parts)
	if err != nil {
		s.counts.BadPushes++
		s.recordFailure(from)
		s.fetch.parts = nil
		return append([]shed.Action{shed.Note{Reason: shed.ReasonConfigInvalid, Peer: from}}, s.pullIfDue(now)...)
	}
	return s.apply(now, index, parts, compiled, from)
}

// compile compiles the parts. Refusals are remembered by the list of parts, so a peer
// that pushes a refused revision again causes no second compilation.
func (s *State) compile(index shed.ConfigIndex, parts map[shed.PartHash][]byte) (*shed.Rules, error) {
	id := listHash(index)
	for _, refused := range s.fetch.refused {
		if refused.listHash == id {
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
	s.fetch.refused = append(s.fetch.refused, refusal{id, err})
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

// apply puts a complete, compiled revision in force and announces it. From is the peer
// that sent it, or "" for the platform.
func (s *State) apply(now time.Time, index shed.ConfigIndex, parts map[shed.PartHash][]byte, compiled *shed.Rules, from shed.VM) []shed.Action {
	s.current = current{rules: compiled, index: index, parts: parts, hashes: sortedHashes(parts)}
	s.counts.Applied++
	if s.reads.invalid < index.Revision {
		s.reads.invalid, s.reads.faults = 0, ""
		s.reads.settledAt = time.Time{}
	}
	s.fetch.parts = nil
	s.pruneClaims(now)
	if p := s.fresh.pending; p.revision != 0 && p.revision <= index.Revision {
		s.fresh.pending = pendingConfirmation{}
		s.confirm(p.revision, p.at)
	}
	out := []shed.Action{shed.RulesInForce{Rules: compiled}}
	out = append(out, s.announce(now, from)...)
	return append(out, s.pullIfDue(now)...)
}

// announce sends the new revision's digest: each daemon notifies its children, and a
// daemon that got it from outside the zone also the watchers and the other zones.
func (s *State) announce(now time.Time, from shed.VM) []shed.Action {
	to := append([]shed.VM(nil), s.topology.children...)
	if s.topology.level == 0 || !contains(s.topology.ranked, from) {
		to = append(to, s.topology.watchers(s.cfg.Watchers)...)
		to = append(to, s.remoteContacts(allZones)...)
	}
	notified := map[shed.VM]bool{s.cfg.Self.VM: true, from: true, "": true}
	var out []shed.Action
	for _, vm := range to {
		if !notified[vm] {
			notified[vm] = true
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
