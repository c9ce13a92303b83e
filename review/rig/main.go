// Command rig runs the cases of the review that are scripts, and the replicas that they need.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases has the scripts by number. Each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"6":  popularReport,
	"8":  newInstructions,
	"9":  preemptedStream,
	"10": largerHeads,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig replica|case ...")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "replica":
		runReplica(os.Args[2:])
	case "case":
		os.Exit(runCase(os.Args[2:]))
	}
}

func runReplica(args []string) {
	r := &replica{}
	f := flag.NewFlagSet("replica", flag.ExitOnError)
	f.StringVar(&r.id, "id", "", "ID")
	f.StringVar(&r.service, "service", "", "service")
	f.StringVar(&r.address, "listen", "", "IP:port")
	f.StringVar(&r.store, "store", "", "IP:port of the store")
	f.StringVar(&r.zone, "zone", "zone-a", "availability zone")
	f.StringVar(&r.model, "model", "", "model, for an engine")
	f.IntVar(&r.slots, "slots", 6, "requests at once")
	f.IntVar(&r.events, "events", 20, "events of a stream")
	f.DurationVar(&r.work, "work", 30*time.Millisecond, "time of a request, or until the first event")
	f.DurationVar(&r.pace, "pace", 50*time.Millisecond, "pause between events")
	f.IntVar(&r.stallAfter, "stall-after", 0, "event after which requests are preempted")
	f.DurationVar(&r.stall, "stall", 0, "time for which they are")
	_ = f.Parse(args)
	fmt.Fprintln(os.Stderr, r.run())
}

func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig case NUMBER RECORD")
		return exitNotRun
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.end()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %t", args[0], trouble)
	broken, err := cases[args[0]](w, trouble)
	switch {
	case err != nil:
		w.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
