package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"

	shed "jasmineshed"
)

// Keys of the platform's configuration service.
const (
	// IndexKey is the key of the index of the parts.
	IndexKey = "rules"
	// PartKeyPrefix followed by the hex SHA-256 of a part is the key of the part.
	PartKeyPrefix = "part-"
)

// Sizes of parts. A part ends after a line chosen by the line's hash, so that a changed
// line moves no other part's end; the bounds hold for any content.
const (
	// MaxPartBytes is the largest size of a part in bytes: well below the platform's limit of 1 MB.
	MaxPartBytes = 64 << 10
	minPart      = 4 << 10
	// endInterval: one line in this many may end a part.
	endInterval = 64
	// maxParts bounds the length of an index.
	maxParts = 4096
)

// Errors of packed rules.
var (
	ErrBadIndex = errors.New("index of the rules can't be read")
	ErrBadPart  = errors.New("part of the rules is missing or not what its hash says")
)

// packedIndex is the index as stored by the platform.
type packedIndex struct {
	Parts []string `json:"parts"`
}

// Pack splits the text into parts and returns the index that lists them.
func Pack(text []byte) (index []byte, parts map[shed.PartHash][]byte) {
	list := packedIndex{Parts: []string{}}
	parts = map[shed.PartHash][]byte{}
	for _, part := range split(text) {
		hash := shed.PartHash(sha256.Sum256(part))
		parts[hash] = part
		list.Parts = append(list.Parts, hex.EncodeToString(hash[:]))
	}
	index, err := json.Marshal(list)
	if err != nil {
		// A struct of strings always marshals.
		panic(err)
	}
	return index, parts
}

// PartName returns the platform's key of a part.
func PartName(hash shed.PartHash) string {
	return PartKeyPrefix + hex.EncodeToString(hash[:])
}

// split splits the text at line ends chosen by the content of the lines.
func split(text []byte) [][]byte {
	var parts [][]byte
	start := 0
	for at := 0; at < len(text); {
		end := len(text)
		if i := bytes.IndexByte(text[at:], '\n'); i >= 0 {
			end = at + i + 1
		}
		line := text[at:end]
		if at > start && end-start > MaxPartBytes {
			parts = append(parts, text[start:at])
			start = at
		}
		at = end
		if at-start >= minPart && endsPart(line) {
			parts = append(parts, text[start:at])
			start = at
		}
	}
	if start < len(text) {
		parts = append(parts, text[start:])
	}
	return parts
}

func endsPart(line []byte) bool {
	h := fnv.New32a()
	_, _ = h.Write(line)
	return h.Sum32()%endInterval == 0
}

// ParseIndex parses the value of IndexKey.
func ParseIndex(rev shed.Revision, data []byte) (shed.ConfigIndex, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var list packedIndex
	if err := dec.Decode(&list); err != nil {
		return shed.ConfigIndex{}, fmt.Errorf("%w: %w", ErrBadIndex, err)
	}
	if len(list.Parts) == 0 || len(list.Parts) > maxParts {
		return shed.ConfigIndex{}, fmt.Errorf("%w: it lists %d parts", ErrBadIndex, len(list.Parts))
	}
	index := shed.ConfigIndex{Revision: rev, Parts: make([]shed.PartHash, len(list.Parts))}
	for i, name := range list.Parts {
		raw, err := hex.DecodeString(name)
		if err != nil || len(raw) != sha256.Size {
			return shed.ConfigIndex{}, fmt.Errorf("%w: part %d has no hash", ErrBadIndex, i)
		}
		copy(index.Parts[i][:], raw)
	}
	return index, nil
}

// Join reassembles the text. It fails unless all parts are present and match their hashes.
func Join(index shed.ConfigIndex, parts map[shed.PartHash][]byte) ([]byte, error) {
	size := 0
	for i, hash := range index.Parts {
		part, ok := parts[hash]
		if !ok || sha256.Sum256(part) != hash {
			return nil, fmt.Errorf("%w: part %d, %s", ErrBadPart, i, hex.EncodeToString(hash[:]))
		}
		size += len(part)
	}
	if size > maxText {
		return nil, fmt.Errorf("%w: the parts have %d bytes", ErrBadPart, size)
	}
	text := make([]byte, 0, size)
	for _, hash := range index.Parts {
		text = append(text, parts[hash]...)
	}
	return text, nil
}
