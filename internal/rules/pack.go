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
	// IndexKey holds the index of the parts.
	IndexKey = "rules"
	// PartKeyPrefix followed by the hex SHA-256 of a part holds the part.
	PartKeyPrefix = "part-"
)

// Sizes of parts. A part ends after a line whose hash says so, so that a
// changed line moves no other part's ends; the bounds hold whatever the lines.
const (
	// MaxPartBytes is the most bytes of a part: well below the platform's megabyte.
	MaxPartBytes = 64 << 10
	minPart      = 4 << 10
	// endOneIn: one line in so many ends a part.
	endOneIn = 64
	// maxParts bounds what an index may list.
	maxParts = 4096
)

// The ways in which packed rules are refused.
var (
	ErrBadIndex = errors.New("index of the rules can't be read")
	ErrBadPart  = errors.New("part of the rules is missing or not what its hash says")
)

// packed is the index as the platform holds it.
type packed struct {
	Parts []string `json:"parts"`
}

// Pack cuts the text into parts and makes the index that lists them.
func Pack(text []byte) (index []byte, parts map[shed.PartHash][]byte) {
	list := packed{Parts: []string{}}
	parts = map[shed.PartHash][]byte{}
	for _, part := range cut(text) {
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

// PartName is the platform's key of a part.
func PartName(hash shed.PartHash) string {
	return PartKeyPrefix + hex.EncodeToString(hash[:])
}

// cut splits the text at line ends chosen by their lines' content.
func cut(text []byte) [][]byte {
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
	return h.Sum32()%endOneIn == 0
}

// ParseIndex reads the value of IndexKey.
func ParseIndex(rev shed.Revision, data []byte) (shed.ConfigIndex, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var list packed
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

// Join puts the text together again. Each part must be what its hash says, so
// a text is whole or there is none.
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
