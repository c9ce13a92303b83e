package dispatch

import (
	"sync"
	"time"
)

// unnamedRejectionTTL is how long a service counts as one whose servers reject requests without naming them, after the
// last such rejection.
const unnamedRejectionTTL = time.Minute

// unnamedRejections has the services whose servers reject requests without naming them. A request that must not run twice
// gets a new connection to these: on a used one, such a rejection proves nothing. It is safe for concurrent use.
type unnamedRejections struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// record records a rejection that names no request. Services without one for unnamedRejectionTTL are forgotten.
func (u *unnamedRejections) record(service string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = map[string]time.Time{}
	}
	u.until[service] = now.Add(unnamedRejectionTTL)
	for other, until := range u.until {
		if !now.Before(until) {
			delete(u.until, other)
		}
	}
}

// rejects reports whether servers of the service have rejected requests without naming them lately.
func (u *unnamedRejections) rejects(service string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.until[service])
}
