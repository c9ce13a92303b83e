package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/briarlink/briarlink/test/standin/wire"
)

// TestPassedOnFailureOfARunIsNoPromise guards against a host of the build before, which passes a server's own failure on
// as it came: to the caller of a request that must not run twice it is a promise that it did not run.
func TestPassedOnFailureOfARunIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.Attempt, r.Header.Get(wire.Attempt))
			w.Header().Set(wire.Seal, "seal")
			w.WriteHeader(status)
		}))
		t.Cleanup(other.Close)
		here := newFixture(t)
		here.cutOff(other.Listener.Addr().String())
		resp, body, _ := here.post(t, "/notes/", testKey, "")
		if resp == nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(wire.Seal) != "" {
			t.Errorf("a server's own %d: %+v, %q", status, resp, body)
		}
	}
}
