package quarantine

import "testing"

// TestDigestDistinguishesRequests checks that two attempts have the same digest only if
// everything that a server would run is the same. Moving a byte from one field to the next
// must change the digest.
func TestDigestDistinguishesRequests(t *testing.T) {
	base := DigestOf("museum", "POST", "a.example", "/ask/1", []byte("body"))
	if base != DigestOf("museum", "POST", "a.example", "/ask/1", []byte("body")) {
		t.Error("the same request has two digests")
	}
	others := map[string]Digest{
		"organisation": DigestOf("archive", "POST", "a.example", "/ask/1", []byte("body")),
		"method":       DigestOf("museum", "PUT", "a.example", "/ask/1", []byte("body")),
		"host":         DigestOf("museum", "POST", "b.example", "/ask/1", []byte("body")),
		"target":       DigestOf("museum", "POST", "a.example", "/ask/2", []byte("body")),
		"body":         DigestOf("museum", "POST", "a.example", "/ask/1", []byte("other")),
		"shifted":      DigestOf("museum", "POST", "a.example", "/ask/", []byte("1body")),
	}
	for what, digest := range others {
		if digest == base {
			t.Errorf("another %s has the same digest", what)
		}
	}
}
