// Package quarantine keeps requests that crash backend servers away from them.
package quarantine

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// Digest identifies a request: attempts have the same digest if the same organisation sends
// the same method, host, target and body. What differs between attempts, such as their ID
// and the remaining time, is not part of it.
type Digest uint64

// String returns the digest for logs.
func (d Digest) String() string { return strconv.FormatUint(uint64(d), 16) }

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
