// Package uuid7 reads the time in a UUID of version 7 (RFC 9562, 5.7).
package uuid7

import (
	"time"

	"github.com/google/uuid"
)

// Time returns when id was made; ok is false when it is no UUIDv7.
func Time(id string) (made time.Time, ok bool) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := parsed.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
