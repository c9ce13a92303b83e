package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/briarlink/briarlink/platform"
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

// TestPassedOnRequestIsNotRejectedByAnother guards against a late rejection that names no request and is taken for the
// answer of the host that a request was passed on to, which has it run; and against an answer of a server that ran it and
// states that no server was reached.
func TestPassedOnRequestIsNotRejectedByAnother(t *testing.T) {
	const unnamed = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
	unreached := http.Header{}
	platform.SetUnreached(unreached)
	var marks strings.Builder
	if err := unreached.Write(&marks); err != nil {
		t.Fatal(err)
	}
	for name, answers := range map[string][]string{
		"a late rejection":        {"HTTP/1.1 503 X\r\n" + wire.Attempt + ": r-1\r\nContent-Length: 0\r\n\r\n", unnamed},
		"a mark that is not ours": {"HTTP/1.1 503 X\r\n" + wire.Attempt + ": r-1\r\n" + wire.Seal + ": s\r\n" + marks.String() + "Content-Length: 0\r\n\r\n"},
	} {
		here := newFixture(t)
		here.cutOff(answerInTurn(t, answers))
		var resp *http.Response
		for i := range answers {
			resp, _, _ = here.postAs(t, fmt.Sprintf("r-%d", i+1), "/notes/", testKey, "")
		}
		if resp == nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: %+v", name, resp)
		}
	}
}

// answerInTurn listens and answers the requests of each connection with the given answers in turn.
func answerInTurn(t *testing.T, answers []string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for _, answer := range answers {
					req, err := http.ReadRequest(r)
					if err == nil {
						_, err = io.Copy(io.Discard, req.Body)
					}
					if err == nil {
						_, err = io.WriteString(conn, answer)
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}
