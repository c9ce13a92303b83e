// Package explain tells from the hosts' logs what became of a request and why: a
// verdict first, then the lines that bear on it.
package explain

import (
	"fmt"
	"time"

	"github.com/briarlink/briarlink/internal/logline"
	"github.com/briarlink/briarlink/internal/obs"
)

const (
	// before and after bound the time around a request in which lines on its replicas
	// bear on it: a fault shows within seconds, and hosts tell of a lost replica a
	// little after the streams that it cut.
	before = 5 * time.Second
	after  = 1500 * time.Millisecond
	// foldWithin is the time within which hosts say the same of one event.
	foldWithin = time.Second
)

// replicaMessages are the lines on a replica that can be the cause of what became of
// a request, and hostMessages those on the host that served it.
var (
	replicaMessages = map[string]bool{
		"replica changed state": true, "replica thought down": true, "replica serves again": true,
		"replica gives no sign of life": true, "replica avoided: another host finds it down": true,
		"answer thought lost: later requests were answered": true, "replica holds other weights than believed": true,
		"replica crashed while it was running requests": true, "replica says that it leaves": true, "replica asks this host to back off": true,
		"order to load weights": true, "order to load weights without an answer": true, "weights loaded": true,
	}
	hostMessages = map[string]bool{
		"started": true, "stopped": true, "this host's machine was suspended": true, "stopping: callers are sent elsewhere": true,
		"store lost": true, "store regained": true, configInForce: true,
		"organisation over its rate limit": true, "rate limit changed": true, "rate limit not taken": true,
	}
)

// digestMessages are the lines on all attempts at the same request; when they were written
// makes no difference.
var digestMessages = map[string]bool{
	"request refused from now on: servers crash under it": true, "request is let in again": true,
}

// Lines that say what is in force.
const (
	configInForce = "configuration in force"
	weightsWanted = "weights wanted"
)

// Story is what became of a request.
type Story struct {
	// Verdict is one sentence: what the caller got, and the cause.
	Verdict string
	// Lines bear on it, in order of time.
	Lines []logline.Line
}

// Tell returns the story of a request. With everything set it also has each line of
// the replicas that it met since the logs begin. The logs are read twice, first for the
// line that ends the request: only lines that the story may need are kept.
func Tell(id string, logs logline.Logs, everything bool) (Story, error) {
	last, err := endOf(id, logs)
	if err != nil {
		return Story{}, err
	}
	if last == nil {
		return untold(id, logs)
	}
	r, err := last.Request()
	if err != nil {
		return Story{}, err
	}
	c := choice{window: window{
		id: id, digest: r.Digest, host: last.Source, replicas: r.Replicas(), everything: everything,
		from: r.Began(last.At).Add(-before), began: r.Began(last.At), to: last.At.Add(after),
	}, version: r.Weights}
	if err := logs.Each(c.take); err != nil {
		return Story{}, err
	}
	story := Story{Lines: fold(c.inOrder())}
	story.Verdict = verdict(&r, last, story.Lines, c.newer)
	return story, nil
}

// endOf returns the last line that ends a request, or nil.
func endOf(id string, logs logline.Logs) (*logline.Line, error) {
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

// untold is the story of a request without a line of its own.
func untold(id string, logs logline.Logs) (Story, error) {
	story := Story{Verdict: fmt.Sprintf("no line ends request %s: the host that took it ended before it could write one, or its log is not among these", id)}
	err := logs.Each(func(text []byte) error {
		h, ok := logline.ParseHead(text)
		if !ok || h.Message != "host lost: no heartbeats" && h.Message != "started" && h.Request != id {
			return nil
		}
		if l, ok := logline.Parse(text); ok {
			story.Lines = append(story.Lines, l)
		}
		return nil
	})
	logline.Sort(story.Lines)
	story.Lines = fold(story.Lines)
	return story, err
}

// window says which lines bear on a request.
type window struct {
	id         string
	digest     string
	host       string
	replicas   map[string]bool
	from       time.Time
	began      time.Time
	to         time.Time
	everything bool
}

// tells reports whether a line belongs to the story.
func (w *window) tells(h *logline.Head) bool { return h.Request == w.id || w.bears(h) }

// here reports whether a line is of the host that served the request, as far as
// sources are known.
func (w *window) here(h *logline.Head) bool {
	source := h.Source()
	return w.host == "" || source == "" || source == w.host
}

func (w *window) bears(h *logline.Head) bool {
	near := !h.At.Before(w.from)
	if h.Message == obs.RequestMessage {
		return false
	}
	if digestMessages[h.Message] {
		return w.digest != "" && h.Digest == w.digest
	}
	if w.replicas[h.Replica] {
		return w.everything || near && replicaMessages[h.Message]
	}
	during := !h.At.Before(w.began)
	return during && hostMessages[h.Message] && w.here(h)
}

// inForce reports whether a line says what was in force when the request came.
func (w *window) inForce(h *logline.Head) bool {
	return !h.At.After(w.began) && (h.Message == configInForce || h.Message == weightsWanted)
}

// fold drops a line that another host said just before.
func fold(lines []logline.Line) []logline.Line {
	var out []logline.Line
	said := map[string]time.Time{}
	for _, l := range lines {
		text := l.Said()
		if at, known := said[text]; known && l.At.Sub(at) < foldWithin {
			continue
		}
		said[text] = l.At
		out = append(out, l)
	}
	return out
}
