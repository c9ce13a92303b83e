// Package explain finds out from the logs of all hosts how a request ended and why. An
// explanation has a verdict and the log lines that are relevant to it.
package explain

import (
	"fmt"
	"time"

	"github.com/briarlink/briarlink/internal/logline"
	"github.com/briarlink/briarlink/internal/obs"
)

const (
	// windowBefore and windowAfter limit the time around a request in which lines on its
	// replicas are relevant: the effects of a fault show within seconds, and hosts log a
	// lost replica a little after the streams that its loss interrupted.
	windowBefore = 5 * time.Second
	windowAfter  = 1500 * time.Millisecond
	// repeatWindow is the time within which several hosts log the same event.
	repeatWindow = time.Second
)

// replicaMessages are the messages on a replica that may explain how a request ended, and
// hostMessages those on the host that served it.
var (
	replicaMessages = map[string]bool{
		"replica changed state": true, "replica thought down": true, "replica serves again": true,
		"replica gives no sign of life": true, "replica avoided: another host finds it down": true,
		"answer thought lost: later requests were answered": true, "replica holds other weights than believed": true,
		"replica crashed while it was running requests": true, "replica says that it leaves": true, "replica asks this host to back off": true,
		"replica is brittle: it falls over if it has to reject more requests": true, "replica is no longer brittle": true,
		"replica limits its requests": true, "replica no longer limits its requests": true,
		"order to load weights": true, "order to load weights without an answer": true, "weights loaded": true,
	}
	hostMessages = map[string]bool{
		"started": true, "stopped": true, "this host's machine was suspended": true, "stopping: callers are sent elsewhere": true,
		"store lost": true, "store regained": true, "store was restored from a copy": true, configInForce: true,
		"organisation over its rate limit": true, "contact with a service lost": true, "contact with a service regained": true, "rate limit changed": true, "rate limit not taken": true,
		"service short of capacity": true, "service no longer short of capacity": true,
	}
)

// digestMessages are the messages on a request's digest, which all attempts at the same
// request share. They are relevant whenever they were logged.
var digestMessages = map[string]bool{
	"request refused from now on: servers crash under it": true, "request is let in again": true,
	"prefix block refused from now on: servers crash under requests with it": true, "prefix block is let in again": true,
}

// directoryByLoad is the message on the hosts that directories name because of load.
const directoryByLoad = "directory names other hosts by load"

// Messages on the configuration and the weights in force.
const (
	configInForce = "configuration in force"
	weightsWanted = "weights wanted"
)

// Explanation says how a request ended, and why.
type Explanation struct {
	// Verdict is one sentence: what the caller received, and the cause.
	Verdict string
	// Lines are the relevant log lines, in order of time.
	Lines []logline.Line
}

// Request explains the request with an ID. With everything set, the lines also include all
// those on its replicas since the logs begin. The logs are read twice: the first pass finds
// the line that ends the request, and the second one keeps only the lines relevant to it.
func Request(id string, logs logline.Logs, everything bool) (Explanation, error) {
	last, err := findEnd(id, logs)
	if err != nil {
		return Explanation{}, err
	}
	if last == nil {
		return withoutEnd(id, logs)
	}
	r, err := last.Request()
	if err != nil {
		return Explanation{}, err
	}
	c := collector{filter: filter{
		id: id, digest: r.Digest, refusedBlock: r.RefusedBlock, host: last.Source, replicas: r.Replicas(), everything: everything,
		from: r.Arrival(last.At).Add(-windowBefore), arrived: r.Arrival(last.At), to: last.At.Add(windowAfter),
	}, version: r.Weights}
	if err := logs.Each(c.add); err != nil {
		return Explanation{}, err
	}
	out := Explanation{Lines: dropRepeats(c.sorted())}
	out.Verdict = verdict(&r, last, out.Lines, c.newer)
	return out, nil
}

// findEnd returns the latest line that ends the request, or nil.
func findEnd(id string, logs logline.Logs) (*logline.Line, error) {
	var last *logline.Line
	err := logs.Each(func(text []byte) error {
		if !logline.MayHold(text, id) {
			return nil
		}
		l, ok := logline.Parse(text)
		if ok && l.Message == obs.RequestMessage && l.Text("request") == id {
			last = later(last, &l)
		}
		return nil
	})
	return last, err
}

// withoutEnd explains a request whose end was not logged: it returns its other lines, and
// those on hosts that started or were lost.
func withoutEnd(id string, logs logline.Logs) (Explanation, error) {
	out := Explanation{Verdict: fmt.Sprintf("no line ends request %s: the host that took it ended before it could write one, or its log is not among these", id)}
	err := logs.Each(func(text []byte) error {
		h, ok := logline.ParseHead(text)
		if !ok || h.Message != "host lost: no heartbeats" && h.Message != "started" && h.Request != id {
			return nil
		}
		if l, ok := logline.Parse(text); ok {
			out.Lines = append(out.Lines, l)
		}
		return nil
	})
	logline.Sort(out.Lines)
	out.Lines = dropRepeats(out.Lines)
	return out, err
}

// filter selects the lines that are relevant to a request.
type filter struct {
	id     string
	digest string
	// refusedBlock is the digest of the prefix block because of which the request was refused, or "".
	refusedBlock string
	host         string
	replicas     map[string]bool
	// from and to limit the time of relevant lines; arrived is when the request arrived.
	from       time.Time
	arrived    time.Time
	to         time.Time
	everything bool
}

// relevant reports whether a line is relevant to the request.
func (f *filter) relevant(h *logline.Head) bool { return h.Request == f.id || f.onContext(h) }

// fromServingHost reports whether a line was written by the host that served the request.
// Without a known source it is assumed to be.
func (f *filter) fromServingHost(h *logline.Head) bool {
	source := h.Source()
	return f.host == "" || source == "" || source == f.host
}

// onContext reports whether a line without the request's ID is relevant to the request: it
// concerns the request's digest, its replicas, or the host that served it.
func (f *filter) onContext(h *logline.Head) bool {
	near := !h.At.Before(f.from)
	if h.Message == obs.RequestMessage {
		return false
	}
	if digestMessages[h.Message] {
		return h.Digest != "" && (h.Digest == f.digest || h.Digest == f.refusedBlock)
	}
	if f.replicas[h.Replica] {
		return f.everything || near && replicaMessages[h.Message]
	}
	if h.Message == directoryByLoad {
		return near && f.fromServingHost(h)
	}
	during := !h.At.Before(f.arrived)
	return during && hostMessages[h.Message] && f.fromServingHost(h)
}

// inForce reports whether a line says which configuration or weights were in force when
// the request arrived.
func (f *filter) inForce(h *logline.Head) bool {
	return !h.At.After(f.arrived) && (h.Message == configInForce || h.Message == weightsWanted)
}

// dropRepeats drops lines whose content was logged a moment before, as several hosts log
// the same event.
func dropRepeats(lines []logline.Line) []logline.Line {
	var out []logline.Line
	logged := map[string]time.Time{}
	for _, l := range lines {
		text := l.Content()
		if at, known := logged[text]; known && l.At.Sub(at) < repeatWindow {
			continue
		}
		logged[text] = l.At
		out = append(out, l)
	}
	return out
}
