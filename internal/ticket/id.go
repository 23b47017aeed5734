package ticket

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
)

// ErrBadID is returned for an id that no process can have issued.
var ErrBadID = errors.New("not a ticket id")

// The parts of an id: a version, then in base64 the incarnation, the random
// part, a checksum and the VM.
const (
	idVersion   = "t1."
	randomSize  = 16
	incarnation = 8
	checkSize   = 4
	fixedSize   = incarnation + randomSize + checkSize
	maxID       = 128
)

var idCoding = base64.RawURLEncoding.Strict()

// NewID returns the id of a ticket whose home is the process. The random part
// keeps callers from guessing the tickets of others.
func NewID(home shed.Peer, random [randomSize]byte) shed.RequestID {
	raw := make([]byte, 0, fixedSize+len(home.VM))
	raw = binary.BigEndian.AppendUint64(raw, uint64(home.Incarnation))
	raw = append(raw, random[:]...)
	raw = binary.BigEndian.AppendUint32(raw, check(raw, home.VM))
	raw = append(raw, home.VM...)
	return shed.RequestID(idVersion + idCoding.EncodeToString(raw))
}

// Home returns the process that issued the ticket. It accepts an id only in
// the one form that ID writes, and returns ErrBadID for any other.
func Home(id shed.RequestID) (shed.Peer, error) {
	if len(id) > maxID {
		return shed.Peer{}, fmt.Errorf("%w: longer than %d", ErrBadID, maxID)
	}
	coded, ok := strings.CutPrefix(string(id), idVersion)
	if !ok {
		return shed.Peer{}, fmt.Errorf("%w: unknown version", ErrBadID)
	}
	// The decoder passes over line breaks.
	if strings.ContainsAny(coded, "\r\n") {
		return shed.Peer{}, fmt.Errorf("%w: line break", ErrBadID)
	}
	raw, err := idCoding.DecodeString(coded)
	if err != nil {
		return shed.Peer{}, fmt.Errorf("%w: %w", ErrBadID, err)
	}
	return parse(raw)
}

func parse(raw []byte) (shed.Peer, error) {
	if len(raw) <= fixedSize {
		return shed.Peer{}, fmt.Errorf("%w: too short", ErrBadID)
	}
	vm := shed.VM(raw[fixedSize:])
	signed := raw[:incarnation+randomSize]
	if binary.BigEndian.Uint32(raw[len(signed):]) != check(signed, vm) {
		return shed.Peer{}, fmt.Errorf("%w: checksum", ErrBadID)
	}
	addr, err := netip.ParseAddrPort(string(vm))
	if err != nil || addr.String() != string(vm) {
		return shed.Peer{}, fmt.Errorf("%w: address of its home", ErrBadID)
	}
	number := binary.BigEndian.Uint64(raw)
	return shed.Peer{VM: vm, Incarnation: shed.Incarnation(number)}, nil
}

// check catches a mistyped or cut id; it is no protection against forgery,
// which the home's table gives.
func check(raw []byte, vm shed.VM) uint32 {
	d := xxhash.New()
	_, _ = d.Write(raw)
	_, _ = d.WriteString(string(vm))
	return uint32(d.Sum64())
}
