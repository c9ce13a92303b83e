// Command harness runs the scripts of the review's cases. Each case starts entry hosts and a store as
// processes of their own, plays consumers and replicas, and checks one rule from outside.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// outcome says whether the rule was broken, and why.
type outcome struct {
	broken  bool
	verdict string
}

// caseFunc plays a case; with trouble unset it leaves the disruption out.
type caseFunc func(rec *record, trouble bool) (outcome, error)

var cases = map[string]caseFunc{
	"wall":   wall,
	"denied": denied,
	"whole":  whole,
	"stall":  stall,
	"drain":  drain,
}

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with the disruption: %t", os.Args[1], trouble)
	result, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	}
	rec.note("broken: %t: %s", result.broken, result.verdict)
	fmt.Printf("broken: %t: %s\n", result.broken, result.verdict)
	if result.broken {
		return exitBroken
	}
	return exitHeld
}
