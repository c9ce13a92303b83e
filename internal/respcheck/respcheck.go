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
