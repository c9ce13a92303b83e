// Package quarantine keeps requests that crash backend servers away from them.
package quarantine

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// Digest is equal for attempts at the same request: the same organisation sends the same
// method, host, target and body. What differs between attempts, such as their ID and the
// time that is left, is no part of it.
type Digest uint64

// String returns the digest for logs.
func (d Digest) String() string { return strconv.FormatUint(uint64(d), 16) }

// DigestOf returns the digest of a request.
func DigestOf(organisation, method, host, target string, body []byte) Digest {
	h := xxh3.New()
	for _, field := range []string{organisation, method, host, target} {
		// A hash takes every byte and never fails; the zero byte keeps fields apart.
		_, _ = h.WriteString(field)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Digest(h.Sum64())
}
