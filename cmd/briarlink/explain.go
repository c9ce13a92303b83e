package main

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

type explainCmd struct {
	Request string   `arg:"" help:"ID of the request."`
	Files   []string `arg:"" optional:"" help:"Log files of all hosts; standard input without any."`
}

// Run implements the explain command.
func (c *explainCmd) Run() error {
	readers, closeAll, err := openLogs(c.Files)
	if err != nil {
		return err
	}
	defer closeAll()
	story, err := explain(c.Request, readers...)
	if err != nil {
		return err
	}
	fmt.Println(strings.Join(story, "\n"))
	return nil
}

// logLine is one line of a host's log.
type logLine struct {
	fields map[string]any
	time   string
	text   string
}

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// explain returns the lines that bear on a request in order of time: its own,
// those on the replicas that it met, and the last configuration before it.
func explain(request string, logs ...io.Reader) ([]string, error) {
	var all []logLine
	for _, log := range logs {
		lines, err := readLog(log)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].time < all[j].time })
	own, replicas := ownLines(request, all)
	if len(own) == 0 {
		return nil, errors.Errorf("no log line names request %s", request)
	}
	end := own[len(own)-1].time
	var story []string
	lastConfig := ""
	for _, l := range all {
		switch {
		case l.time > end:
		case l.fields["request"] == request, bearsOn(l, replicas):
			story = append(story, l.text)
		case l.fields["msg"] == "configuration in force":
			lastConfig = l.text
		}
	}
	story = fold(story)
	if lastConfig != "" {
		story = append([]string{lastConfig}, story...)
	}
	return story, nil
}

// foldWithin is the time within which hosts say the same of one event.
const foldWithin = time.Second

// fold drops a line that another host said just before.
func fold(story []string) []string {
	var out []string
	said := map[string]time.Time{}
	for _, line := range story {
		stamp, text, _ := strings.Cut(line, "  ")
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if last, known := said[text]; known && err == nil && at.Sub(last) < foldWithin {
			continue
		}
		said[text] = at
		out = append(out, line)
	}
	return out
}

// ownLines returns the lines of a request, and the replicas that they name.
func ownLines(request string, all []logLine) ([]logLine, map[string]bool) {
	var own []logLine
	replicas := map[string]bool{}
	for _, l := range all {
		if l.fields["request"] != request {
			continue
		}
		own = append(own, l)
		if id, ok := l.fields["replica"].(string); ok && id != "" {
			replicas[id] = true
		}
		tries, _ := l.fields["tries"].([]any)
		for _, try := range tries {
			if fields, ok := try.(map[string]any); ok {
				id, _ := fields["Replica"].(string)
				replicas[id] = true
			}
		}
	}
	return own, replicas
}

// bearsOn reports whether a line tells of a change of one of the replicas.
func bearsOn(l logLine, replicas map[string]bool) bool {
	id, _ := l.fields["replica"].(string)
	return replicas[id] && l.fields["msg"] != "request"
}

func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		// What stands before the object, such as a collector's prefix, is left out.
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		l := logLine{fields: map[string]any{}}
		if json.Unmarshal(scanner.Bytes()[start:], &l.fields) != nil {
			continue
		}
		l.time, _ = l.fields["time"].(string)
		l.text = render(l)
		out = append(out, l)
	}
	return out, errors.Wrap(scanner.Err(), "read a log")
}

// render writes a line as time, message and its other fields by name.
func render(l logLine) string {
	var names []string
	for name := range l.fields {
		if name != "time" && name != "msg" && name != "level" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	out := fmt.Sprintf("%s  %v", l.time, l.fields["msg"])
	for _, name := range names {
		value, err := json.Marshal(l.fields[name])
		if err != nil {
			continue
		}
		out += " " + name + "=" + strings.Trim(string(value), `"`)
	}
	return out
}
