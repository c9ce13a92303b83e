// Package respcheck checks the heads of answers for what HTTP does not allow and net/http accepts.
package respcheck

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// The status codes that HTTP allows.
const (
	minStatus = 100
	maxStatus = 599
)

// Head returns an error if the head of an answer is invalid.
func Head(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return errors.Errorf("invalid protocol version %q", resp.Proto)
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return errors.Errorf("invalid status code %d", resp.StatusCode)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("invalid field name %q", name)
		}
	}
	return nil
}

// Transport is an http.RoundTripper whose answers have valid heads. An answer with an invalid one is an error.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Head(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
