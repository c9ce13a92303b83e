// Command mutate shows that tests can fail: it breaks one mechanism at a time,
// in an overlay that touches no file, and runs the test that must notice.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Mutation is one way to break a mechanism.
type Mutation struct {
	// Name says what is broken.
	Name string `json:"name"`
	// File is changed by replacing Old, which occurs once, by New.
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
	// Package and Test name the test that must fail.
	Package string `json:"package"`
	Test    string `json:"test"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	data, err := os.ReadFile("test/mutate/mutations.hujson")
	if err != nil {
		return err
	}
	if data, err = hujson.Standardize(data); err != nil {
		return err
	}
	var mutations []Mutation
	if err := json.Unmarshal(data, &mutations); err != nil {
		return err
	}
	survived := 0
	for _, m := range mutations {
		verdict, err := m.try()
		if err != nil {
			return errors.Wrap(err, m.Name)
		}
		if verdict != "caught" {
			survived++
		}
		fmt.Printf("%-10s %-70s %s\n", verdict, m.Name, m.Test)
	}
	fmt.Printf("%d mutations, %d caught, %d survived\n", len(mutations), len(mutations)-survived, survived)
	if survived > 0 {
		return errors.New("a broken mechanism went unnoticed")
	}
	return nil
}

// try returns "caught", "survived" or "no build".
func (m Mutation) try() (string, error) {
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(dir)
	overlay, err := m.overlay(dir)
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "test", "-count=1", "-timeout=40s", "-overlay="+overlay, "-run=^"+m.Test+"$", m.Package).CombinedOutput()
	switch {
	case err == nil:
		return "survived", nil
	case strings.Contains(string(out), "[build failed]"):
		return "no build", nil
	default:
		return "caught", nil
	}
}

func (m Mutation) overlay(dir string) (string, error) {
	source, err := os.ReadFile(m.File)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(source), m.Old); n != 1 {
		return "", errors.Errorf("%q occurs %d times in %s", m.Old, n, m.File)
	}
	changed := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), m.Old, m.New, 1)), 0o600); err != nil {
		return "", err
	}
	path, err := filepath.Abs(m.File)
	if err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, list, 0o600)
}
