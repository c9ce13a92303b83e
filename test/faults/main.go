// Command faults runs the system as real processes under load, kills, freezes
// and stops them, and counts what callers must never see. It needs the programs
// in bin/ and ends by itself.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
	"github.com/briarlink/briarlink/internal/admin"
	"github.com/briarlink/briarlink/test/standin/fault"
	"github.com/briarlink/briarlink/test/standin/service"
)

const (
	freezeLength = 6 * time.Second
	pauseBetween = 2 * time.Second
	inForceLimit = 10 * time.Second
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(1)
	}
}

func run() error {
	dir, err := os.MkdirTemp("", "faults")
	if err != nil {
		return err
	}
	f, err := newFleet(dir)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.boot(); err != nil {
		return errors.Wrapf(err, "boot\n%s", f.tail("entry-0"))
	}
	op := &operator{}
	if err := op.configure(); err != nil {
		return errors.Wrap(err, "configure")
	}
	l := newLoad(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		l.run(ctx)
		close(done)
	}()
	steps := faultSteps(f, op)
	for _, s := range steps {
		time.Sleep(pauseBetween)
		fmt.Printf("fault: %s\n", s.name)
		if err := s.do(); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	time.Sleep(pauseBetween)
	cancel()
	<-done
	if err := l.settle(); err != nil {
		return err
	}
	return report(l, op, len(steps), dir)
}

// step is one fault.
type step struct {
	name string
	do   func() error
}

func faultSteps(f *fleet, op *operator) []step {
	restart := func(p *process) func() error {
		return func() error {
			p.kill()
			time.Sleep(time.Second)
			return p.start()
		}
	}
	during := func(address string, p fault.Plan, d time.Duration) func() error {
		return func() error {
			if err := plan(address, p); err != nil {
				return err
			}
			time.Sleep(d)
			return plan(address, fault.Plan{})
		}
	}
	return []step{
		{"kill -9 of an entry host, restarted", restart(f.entries[0])},
		{"engine crashes and comes back empty", func() error { return plan(engineAddress(0), fault.Plan{Crash: true}) }},
		{"engine says it is leaving for 3 s", during(engineAddress(1), fault.Plan{Leaving: true}, 3*time.Second)},
		{"platform loses half of its answers for 4 s", during(platformAddress, fault.Plan{LoseAnswers: 0.5}, 4*time.Second)},
		{"service loses a fifth of its answers for 3 s", during(serviceAddress, fault.Plan{LoseAnswers: 0.2}, 3*time.Second)},
		{"operators race for one object", op.race},
		{"platform frozen for 6 s", during(platformAddress, fault.Plan{Frozen: true}, freezeLength)},
		{"platform down, and an entry host killed meanwhile", func() error {
			if err := plan(platformAddress, fault.Plan{Down: true}); err != nil {
				return err
			}
			if err := restart(f.entries[1])(); err != nil {
				return err
			}
			time.Sleep(3 * time.Second)
			return plan(platformAddress, fault.Plan{})
		}},
		{"SIGSTOP of an entry host for 6 s", func() error {
			f.entries[2].signal(syscall.SIGSTOP)
			time.Sleep(freezeLength)
			f.entries[2].signal(syscall.SIGCONT)
			return nil
		}},
		{"kill -9 of an engine, restarted", restart(f.engines[2])},
		{"SIGTERM of an entry host with streams open", func() error {
			if err := f.entries[3].cmd.Process.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			if err := f.entries[3].wait(); err != nil {
				return errors.Wrap(err, "graceful stop")
			}
			return f.entries[3].start()
		}},
		{"all entry hosts killed at once, restarted", func() error {
			for _, p := range f.entries {
				p.signal(syscall.SIGKILL)
			}
			for _, p := range f.entries {
				_ = p.wait()
				if err := p.start(); err != nil {
					return err
				}
			}
			return nil
		}},
	}
}

// settle compares what callers were told with what ran.
func (l *load) settle() error {
	var ledger map[string]service.Booking
	if err := get("http://"+serviceAddress+"/control/booked", &ledger); err != nil {
		return err
	}
	for _, b := range l.bookings {
		entry := ledger[b.body]
		if entry.Count > 1 {
			l.counts.doubled.Add(1)
			l.note("%s ran %d times", b.body, entry.Count)
		}
		if b.confirmed && entry.Count == 0 {
			l.counts.lost.Add(1)
			l.note("%s was confirmed and did not run", b.body)
		}
		for _, at := range b.refusals {
			if entry.Count > 0 && at.UnixMilli() > entry.FirstMs {
				l.counts.falseNotRun.Add(1)
				l.note("%s was answered not run after it ran", b.body)
			}
		}
	}
	for i := range engineCount {
		var runs map[string]int
		if err := get("http://"+engineAddress(i)+"/control/runs", &runs); err != nil {
			return err
		}
		for prompt := range l.prompts {
			if runs[prompt] > 0 {
				l.counts.falseNotRun.Add(1)
				l.note("engine-%d ran a request answered not run", i)
			}
		}
	}
	return nil
}

func get(url string, v any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

func report(l *load, op *operator, faults int, dir string) error {
	c := &l.counts
	fmt.Printf("chats %d, answered %d, refused as not run %d, may have run %d, unanswered at a killed or frozen host %d\n",
		c.chats.Load(), c.answered.Load(), c.refused.Load(), c.mayHaveRun.Load(), c.atTroubled.Load())
	fmt.Printf("refused by kind %v\n", l.refusals)
	fmt.Printf("bookings %d, confirmed %d\n", c.bookings.Load(), c.booked.Load())
	fmt.Printf("changes accepted %d, refused %d; slowest in force on all hosts after %s\n", op.accepted, op.refused, op.slowest.Round(time.Millisecond))
	fmt.Printf("faults %d\nlost %d\ndoubled %d\ncut %d\nfalse not run %d\n", faults, c.lost.Load(), c.doubled.Load(), c.cut.Load(), c.falseNotRun.Load())
	for _, n := range l.notes {
		fmt.Println("  ", n)
	}
	if c.lost.Load()+c.doubled.Load()+c.cut.Load()+c.falseNotRun.Load() > 0 {
		return errors.Errorf("a count is not zero; logs are in %s", dir)
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", dir)
		return nil
	}
	return os.RemoveAll(dir)
}

// operator publishes configuration through any entry host.
type operator struct {
	accepted, refused int
	slowest           time.Duration
}

func (o *operator) client(i int) briarlinkv1connect.AdminServiceClient {
	return admin.NewClient(operatorAddress(i), operatorToken)
}

func (o *operator) apply(i int, ref *pb.ObjectRef, spec *pb.Spec, expected uint64) (*pb.ChangeOutcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceLimit)
	defer cancel()
	change := &pb.Change{ChangeId: uuid.NewString(), Ref: ref, Spec: spec, ExpectedVersion: expected}
	resp, err := o.client(i).ApplyChange(ctx, connect.NewRequest(&pb.ApplyChangeRequest{Change: change}))
	if err != nil {
		return nil, err
	}
	return resp.Msg.Outcome, nil
}

func (o *operator) configure() error {
	objects := map[*pb.ObjectRef]*pb.Spec{
		{Kind: pb.ObjectKind_OBJECT_KIND_MODEL, Id: "report-writer"}: {Kind: &pb.Spec_Model{Model: &pb.Model{Version: "v1"}}},
		{Kind: pb.ObjectKind_OBJECT_KIND_PLAIN_SERVICE, Id: "job-tracking"}: {Kind: &pb.Spec_PlainService{PlainService: &pb.PlainService{
			Addresses: []string{serviceAddress}, Calls: []*pb.PlainCall{{Method: "POST", Path: "/bookings"}},
		}}},
		{Kind: pb.ObjectKind_OBJECT_KIND_ORGANISATION, Id: "museum"}: {Kind: &pb.Spec_Organisation{Organisation: &pb.Organisation{
			ApiKeySha256: [][]byte{apiKeyHash()}, PlainServices: []string{"job-tracking"}, Grants: []*pb.ModelGrant{{Model: "report-writer"}},
			// The run is about faults: the load is well within the guarantee.
			Limit: &pb.RateLimit{GuaranteedPerSecond: 5000},
		}}},
	}
	for i := range engineCount {
		ref := &pb.ObjectRef{Kind: pb.ObjectKind_OBJECT_KIND_BACKEND_SERVER, Id: fmt.Sprintf("engine-%d", i)}
		objects[ref] = &pb.Spec{Kind: &pb.Spec_BackendServer{BackendServer: &pb.BackendServer{Address: engineAddress(i), Model: "report-writer"}}}
	}
	for ref, spec := range objects {
		if out, err := o.apply(0, ref, spec, 0); err != nil || out.Verdict != pb.Verdict_VERDICT_ACCEPTED {
			return errors.Errorf("%s: %v, %v", ref.Id, out, err)
		}
	}
	return until(10*time.Second, o.allServing)
}

func (o *operator) allServing() error {
	for i := range entryCount {
		resp, err := o.client(i).ListReplicas(context.Background(), connect.NewRequest(&pb.ListReplicasRequest{}))
		if err != nil {
			return err
		}
		serving := 0
		for _, r := range resp.Msg.Replicas {
			if r.State == "serving" {
				serving++
			}
		}
		if serving < engineCount {
			return errors.Errorf("entry-%d sees %d engines", i, serving)
		}
	}
	return nil
}

// race lets an operator at each host edit one object at once, again and again:
// each round must have one winner, in force on every host.
func (o *operator) race() error {
	ref := &pb.ObjectRef{Kind: pb.ObjectKind_OBJECT_KIND_MODEL, Id: "raced"}
	version := uint64(0)
	for round := range 10 {
		outcomes := make(chan *pb.ChangeOutcome, entryCount)
		started := time.Now()
		for i := range entryCount {
			spec := &pb.Spec{Kind: &pb.Spec_Model{Model: &pb.Model{Version: fmt.Sprintf("round-%d-host-%d", round, i)}}}
			go func() {
				out, err := o.apply(i, ref, spec, version)
				if err != nil {
					out = nil
				}
				outcomes <- out
			}()
		}
		winners := 0
		for range entryCount {
			if out := <-outcomes; out.GetVerdict() == pb.Verdict_VERDICT_ACCEPTED {
				winners++
				version = out.ToVersion
			}
		}
		if winners != 1 {
			return errors.Errorf("round %d has %d winners", round, winners)
		}
		o.accepted++
		o.refused += entryCount - 1
		if err := until(inForceLimit, func() error { return o.everywhere(ref, version) }); err != nil {
			return err
		}
		o.slowest = max(o.slowest, time.Since(started))
	}
	return nil
}

func (o *operator) everywhere(ref *pb.ObjectRef, version uint64) error {
	for i := range entryCount {
		resp, err := o.client(i).GetObject(context.Background(), connect.NewRequest(&pb.GetObjectRequest{Ref: ref}))
		if err != nil {
			return err
		}
		if resp.Msg.Object.Version != version {
			return errors.Errorf("entry-%d has version %d, want %d", i, resp.Msg.Object.Version, version)
		}
	}
	return nil
}
