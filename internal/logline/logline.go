// Package logline reads the hosts' structured logs back, as they were written or as
// a collector has prefixed them.
package logline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxBytes bounds one line of a log.
const maxBytes = 1 << 20

// Line is one line of a host's log.
type Line struct {
	At time.Time
	// Source is what a collector wrote before the line: mostly the host's name and a
	// time of its own.
	Source  string
	Message string
	Fields  map[string]any
	// raw is the line's JSON object.
	raw []byte
}

// Try is one attempt of a request.
type Try struct {
	Replica string
	Result  string
	Reason  string
	Ms      int64
}

// Request is what the line that ends a request says.
type Request struct {
	ID           string  `json:"request"`
	Outcome      string  `json:"outcome"`
	Error        string  `json:"error"`
	Route        string  `json:"route"`
	Status       int     `json:"status"`
	Replica      string  `json:"replica"`
	Sends        int     `json:"sends"`
	Ran          int     `json:"ran"`
	Ms           float64 `json:"ms"`
	FirstMs      float64 `json:"first_ms"`
	ExpectedMs   float64 `json:"expected_ms"`
	TargetMs     float64 `json:"target_ms"`
	DeadlineMs   float64 `json:"deadline_ms"`
	RetryAfterMs float64 `json:"retry_after_ms"`
	Config       int64   `json:"config"`
	ConfigAgeMs  float64 `json:"config_age_ms"`
	Weights      int64   `json:"weights"`
	Shared       int     `json:"shared"`
	Cached       int     `json:"cached"`
	Fetched      int     `json:"fetched"`
	Tries        []Try   `json:"tries"`
}

// Began returns when the request arrived, from the time of the line that ends it.
func (r *Request) Began(end time.Time) time.Time {
	return end.Add(-time.Duration(r.Ms * float64(time.Millisecond)))
}

// Late reports whether the answer came after the route's latency target.
func (r *Request) Late() bool { return r.TargetMs > 0 && r.FirstMs > r.TargetMs }

// Replicas returns the replicas that the request was sent to.
func (r *Request) Replicas() map[string]bool {
	out := map[string]bool{}
	for _, try := range r.Tries {
		out[try.Replica] = true
	}
	if r.Replica != "" {
		out[r.Replica] = true
	}
	return out
}

// Object returns the JSON object in a line, without what a collector wrote before
// it.
func Object(line []byte) (prefix, object []byte) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return line, nil
	}
	return line[:start], line[start:]
}

// Read returns a log's lines. What is no line of a host is left out.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	err := Each(r, func(text []byte) {
		if l, ok := parse(text); ok {
			out = append(out, l)
		}
	})
	return out, err
}

// Each calls f for each line of a log as it stands there. f must not keep it.
func Each(r io.Reader, f func(text []byte)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxBytes)
	for scanner.Scan() {
		f(scanner.Bytes())
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

// ReadAll returns the lines of several logs in order of time.
func ReadAll(logs []io.Reader) ([]Line, error) {
	var all []Line
	for _, log := range logs {
		lines, err := Read(log)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all, nil
}

func parse(text []byte) (Line, bool) {
	prefix, object := Object(text)
	l := Line{Fields: map[string]any{}}
	if object == nil || json.Unmarshal(object, &l.Fields) != nil {
		return l, false
	}
	stamp, _ := l.Fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return l, false
	}
	l.At = at
	l.Source = source(string(prefix))
	l.Message, _ = l.Fields["msg"].(string)
	l.raw = bytes.Clone(object)
	return l, true
}

// source returns the last word of a prefix that is no number: the host's name, where
// a collector writes times before it.
func source(prefix string) string {
	words := strings.Fields(prefix)
	for i := len(words) - 1; i >= 0; i-- {
		if strings.ContainsFunc(words[i], isLetter) {
			return words[i]
		}
	}
	return ""
}

func isLetter(r rune) bool { return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' }

// Text returns a field's text, or "".
func (l *Line) Text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Number returns a field's number, or 0.
func (l *Line) Number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// Request returns what the line that ends a request says.
func (l *Line) Request() (Request, error) {
	var r Request
	err := json.Unmarshal(l.raw, &r)
	return r, errors.Wrap(err, "decode a request's line")
}

// String renders the line as time, source, message and its other fields by name.
func (l *Line) String() string {
	out := l.At.UTC().Format(time.RFC3339Nano) + "  "
	if l.Source != "" {
		out += l.Source + "  "
	}
	return out + l.Said()
}

// Said renders the line's message and its fields by name, without time and source.
func (l *Line) Said() string {
	var names []string
	for name := range l.Fields {
		if name != "time" && name != "msg" && name != "level" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	out := l.Message
	for _, name := range names {
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			continue
		}
		out += fmt.Sprintf(" %s=%s", name, strings.Trim(string(value), `"`))
	}
	return out
}
