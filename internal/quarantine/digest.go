// Package quarantine keeps requests that crash backend servers away from them: requests that
// crash servers as a whole, and all requests with a prefix block that does.
package quarantine

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// Digest identifies a request or a prefix block. Attempts have the same digest if the same
// organisation sends the same method, host, target and body. What differs between attempts, such
// as their ID and the remaining time, is not part of it.
type Digest uint64

// String returns the digest for logs.
func (d Digest) String() string { return strconv.FormatUint(uint64(d), 16) }

// Fingerprint is what a request may be recognised by when it crashes servers.
type Fingerprint struct {
	// Request is the digest of the whole request.
	Request Digest
	// Blocks are the digests of the prefix blocks that other requests may share.
	Blocks []Digest
	// Prompt is set for a request to an engine, which may have no such block.
	Prompt bool
}

// DigestOf returns the digest of a request.
func DigestOf(organisation, method, host, target string, body []byte) Digest {
	h := xxh3.New()
	for _, field := range []string{organisation, method, host, target} {
		// Writes to a hash never fail; the zero byte separates the fields.
		_, _ = h.WriteString(field)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Digest(h.Sum64())
}

// BlockDigest returns the digest of a prefix block. It depends neither on the route, service or
// model, nor on the block's place in the prompt: a block that crashes servers does so in any
// request. Blocks of different sharing scopes are different ones.
func BlockDigest(scope, block string) Digest {
	return Digest(xxh3.HashString("block\x00" + scope + "\x00" + block))
}
