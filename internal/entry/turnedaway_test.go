package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/briarlink/briarlink/test/standin/engine"
)

// newPlainServer returns the address of a plain server that turns bodies over a size away, 0 for none, and counts what
// arrives.
func newPlainServer(t *testing.T, n int, turnAwayOver int64, arrived *atomic.Int64) string {
	t.Helper()
	e := engine.New(engine.Options{ID: fmt.Sprintf("plain-%d", n), Service: "plain", Slots: 4, TurnAwayOver: turnAwayOver, OnArrive: func(string) { arrived.Add(1) }})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestUploadsThatServersTurnAwayAreRetried guards against a part of an answer to a request that may be repeated, which
// another server can answer.
func TestUploadsThatServersTurnAwayAreRetried(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int64
	f.setUploads(newPlainServer(t, 0, shortUpload, &arrived), newPlainServer(t, 1, 0, &arrived))
	upload := strings.Repeat("x", longUpload)
	for i := range 10 {
		resp, body, complete := f.postAs(t, fmt.Sprint("r-", i), "/files/1", "", upload)
		if resp == nil || resp.StatusCode != http.StatusOK || !complete || body != fmt.Sprintf("answer of plain-1 to %d bytes", longUpload) {
			t.Errorf("%+v, %q, complete %t", resp, body, complete)
		}
	}
}

// TestUploadsThatServersTurnAwayKeepTheRetryBudget guards against uploads that every server turns away and that are sent to
// each of them.
func TestUploadsThatServersTurnAwayKeepTheRetryBudget(t *testing.T) {
	// As in newFixture.
	const ratio, slack = 0.2, 50
	const requests = 300
	f := newFixture(t)
	var arrived atomic.Int64
	var addresses []string
	for n := range 4 {
		addresses = append(addresses, newPlainServer(t, n, shortUpload, &arrived))
	}
	f.setUploads(addresses...)
	upload := strings.Repeat("x", 100*shortUpload)
	for i := range requests {
		if resp, _, _ := f.postAs(t, fmt.Sprint("r-", i), "/files/1", "", upload); resp == nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("request %d: %+v", i, resp)
		}
	}
	if again := arrived.Load() - requests; again > ratio*requests+slack {
		t.Errorf("%d arrivals beyond the first of %d requests", again, requests)
	}
}
