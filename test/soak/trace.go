package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
)

// logTime is the format of times in logs.
const logTime = "15:04:05.000"

// maxTracedBody limits the bytes of an error answer in the list of requests.
const maxTracedBody = 160

// writeRequests lists all requests with their outcomes beside the hosts' logs, and the cuts from all servers.
func (fx *fixture) writeRequests() error {
	file, err := os.Create(filepath.Join(fx.dir, "requests.log"))
	if err != nil {
		return err
	}
	defer file.Close()
	out := bufio.NewWriter(file)
	hosts := map[string]string{}
	for _, h := range fx.hosts {
		hosts[h.caller()] = h.id
	}
	for _, cut := range fx.cuts.spans {
		var names []string
		for _, h := range fx.hosts {
			if cut.hosts[h] {
				names = append(names, h.id)
			}
		}
		fmt.Fprintln(out, "cut", cut.from.Format(logTime), cut.to.Format(logTime), cut.mode, strings.Join(names, ","))
	}
	for _, s := range fx.observed.requests {
		host, fixed := hosts[s.answer.Address], "directory"
		if s.host != nil {
			host, fixed = s.host.id, "fixed"
		}
		outcome := fmt.Sprint("status ", s.answer.Status)
		switch {
		case s.err != nil:
			outcome = "error " + s.err.Error()
		case s.answer.Status != http.StatusOK:
			outcome += " " + strings.TrimSpace(s.answer.Body[:min(len(s.answer.Body), maxTracedBody)])
		case !s.answer.Whole:
			outcome += " not complete"
		}
		fmt.Fprintln(out, s.from.Format(logTime), s.id, s.kind.name, s.key, host, fixed, s.to.Sub(s.from).Milliseconds(), "ms", s.cutCount, outcome)
	}
	return out.Flush()
}
