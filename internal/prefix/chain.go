// Package prefix cuts prompts into pieces, names each piece by a hash chained
// over everything before it, and keeps the index of which replica is believed
// to hold which piece.
package prefix

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/xxh3"
)

// Hash names a piece together with all pieces before it and the chain's seed.
type Hash uint64

// Scope is everything that must be equal for cached state to be shared. Two
// requests that differ in any field never share a Hash, but for collisions of
// the 64-bit hash, which cost a wrong guess and nothing else: engines are given
// the 128-bit Salt and compare their own keys.
type Scope struct {
	Organisation string
	Model        string
	Version      string
	Adapter      string
}

func (s Scope) sum() xxh3.Uint128 {
	var buf []byte
	for _, field := range []string{s.Organisation, s.Model, s.Version, s.Adapter} {
		buf = binary.AppendUvarint(buf, uint64(len(field)))
		buf = append(buf, field...)
	}
	return xxh3.Hash128(buf)
}

// Salt returns the cache salt handed to engines: 32 hex digits.
func (s Scope) Salt() string {
	sum := s.sum().Bytes()
	return hex.EncodeToString(sum[:])
}

// Chain returns the hash of each whole piece of prompt, at most max of them;
// max 0 means all. The tail that fills no piece has no hash, as engines cache
// whole pieces only.
func Chain(salt, prompt string, pieceBytes, max int) []Hash {
	n := len(prompt) / pieceBytes
	if max > 0 && n > max {
		n = max
	}
	chain := make([]Hash, n)
	prev := xxh3.HashString(salt)
	for i := range chain {
		prev = xxh3.HashStringSeed(prompt[i*pieceBytes:(i+1)*pieceBytes], prev)
		chain[i] = Hash(prev)
	}
	return chain
}
