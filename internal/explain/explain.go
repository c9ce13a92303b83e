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
		"order to load weights": true, "order to load weights without an answer": true, "weights loaded": true,
	}
	hostMessages = map[string]bool{
		"started": true, "stopped": true, "stopping: callers are sent elsewhere": true,
		"store lost": true, "store regained": true, "configuration in force": true,
	}
)

// Story is what became of a request.
type Story struct {
	// Verdict is one sentence: what the caller got, and the cause.
	Verdict string
	// Lines bear on it, in order of time.
	Lines []logline.Line
}

// Tell returns the story of a request. With everything set it also has each line of
// the replicas that it met since the logs begin.
func Tell(id string, lines []logline.Line, everything bool) (Story, error) {
	last := endOf(id, lines)
	if last == nil {
		return untold(id, lines), nil
	}
	r, err := last.Request()
	if err != nil {
		return Story{}, err
	}
	w := window{
		id: id, host: last.Source, replicas: r.Replicas(), everything: everything,
		from: r.Began(last.At).Add(-before), began: r.Began(last.At), to: last.At.Add(after),
	}
	story := Story{Lines: fold(w.choose(lines))}
	story.Verdict = verdict(&r, last, story.Lines, lines)
	return story, nil
}

// endOf returns the last line that ends a request, or nil.
func endOf(id string, lines []logline.Line) *logline.Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if l := &lines[i]; l.Message == obs.RequestMessage && l.Text("request") == id {
			return l
		}
	}
	return nil
}

// untold is the story of a request without a line of its own.
func untold(id string, lines []logline.Line) Story {
	story := Story{Verdict: fmt.Sprintf("no line ends request %s: the host that took it ended before it could write one, or its log is not among these", id)}
	for _, l := range lines {
		if l.Message == "host lost: no heartbeats" || l.Message == "started" || l.Text("request") == id {
			story.Lines = append(story.Lines, l)
		}
	}
	story.Lines = fold(story.Lines)
	return story
}

// window says which lines bear on a request.
type window struct {
	id         string
	host       string
	replicas   map[string]bool
	from       time.Time
	began      time.Time
	to         time.Time
	everything bool
}

func (w *window) choose(lines []logline.Line) []logline.Line {
	var out []logline.Line
	var config, weights *logline.Line
	for i := range lines {
		l := &lines[i]
		switch {
		case l.At.After(w.to):
		case l.Text("request") == w.id, w.bears(l):
			out = append(out, *l)
		case l.At.After(w.began):
		case l.Message == "configuration in force" && w.here(l):
			config = l
		case l.Message == "weights wanted" && w.here(l):
			weights = l
		}
	}
	// What was in force when the request came stands first.
	for _, l := range []*logline.Line{weights, config} {
		if l != nil {
			out = append([]logline.Line{*l}, out...)
		}
	}
	return out
}

// here reports whether a line is of the host that served the request, as far as
// sources are known.
func (w *window) here(l *logline.Line) bool {
	return w.host == "" || l.Source == "" || l.Source == w.host
}

func (w *window) bears(l *logline.Line) bool {
	near := !l.At.Before(w.from)
	if l.Message == obs.RequestMessage {
		return false
	}
	if w.replicas[l.Text("replica")] {
		return w.everything || near && replicaMessages[l.Message]
	}
	during := !l.At.Before(w.began)
	return during && hostMessages[l.Message] && w.here(l)
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
