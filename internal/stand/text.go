package stand

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
)

// DefaultTokens is what an engine generates when it is given no limit.
const DefaultTokens = 64

// vectorSize is the length of an embedding.
const vectorSize = 16

// retrieved is how many passages a retriever gives when it is given no limit.
const retrieved = 8

// FullText is the text that an engine generates for an input: every token is a
// function of the input and its own place, so a lost, doubled or foreign one
// shows.
func FullText(input string, tokens int) string {
	return string(appendTokens(nil, xxhash.Sum64String(input), 0, tokens))
}

func appendTokens(b []byte, seed uint64, from, to int) []byte {
	for i := from; i < to; i++ {
		b = appendToken(b, seed, i)
	}
	return b
}

func appendToken(b []byte, seed uint64, i int) []byte {
	b = append(b, ' ')
	b = strconv.AppendUint(b, mix(seed+uint64(i))&0xffff, 36)
	b = append(b, '.')
	return strconv.AppendInt(b, int64(i), 10)
}

// mix spreads the bits of x (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Vector is the embedding of an input.
func Vector(input string) []float32 {
	seed := xxhash.Sum64String(input)
	v := make([]float32, vectorSize)
	for i := range v {
		v[i] = float32(mix(seed+uint64(i))>>40) / (1 << 24)
	}
	return v
}

// Passages are what a retriever finds for a query.
func Passages(query string, limit int) []shed.Passage {
	if limit <= 0 {
		limit = retrieved
	}
	found := make([]shed.Passage, limit)
	for i := range found {
		id := "p" + strconv.Itoa(i)
		found[i] = shed.Passage{
			ID:    id,
			Text:  FullText(id+query, 6),
			Score: 1 / float64(i+1),
		}
	}
	return found
}

// Rerank orders passages as a reranker does for a query.
func Rerank(query string, passages []shed.Passage) []shed.Passage {
	out := append([]shed.Passage(nil), passages...)
	for i := range out {
		out[i].Score = rankScore(query, out[i].Text)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Score > out[j].Score })
	return out
}

func rankScore(query, text string) float64 {
	return float64(xxhash.Sum64String(query+"\x00"+text)>>11) / (1 << 53)
}

// Receipt is what a plain service answers to a request.
func Receipt(request shed.RequestID, input string) string {
	return "r" + strconv.FormatUint(xxhash.Sum64String(string(request)+"\x00"+input), 36)
}
