package settings

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/addr"
)

// Defaults returns settings with all defaults; required settings are left empty.
func Defaults() *pb.Settings {
	return &pb.Settings{
		Host:     &pb.HostSettings{},
		Listen:   &pb.ListenSettings{},
		Platform: &pb.PlatformSettings{CallTimeout: durationpb.New(1500 * time.Millisecond)},
		Request: &pb.RequestSettings{
			DefaultDeadline: durationpb.New(time.Minute),
			MaxBodyBytes:    8 << 20,
			MaxHeaderBytes:  32 << 10,
			IdleTimeout:     durationpb.New(time.Minute),
			AnswerTtl:       durationpb.New(time.Second),
			ShareCache:      true,
			StallTimeout:    durationpb.New(time.Minute),
		},
		Member: &pb.MemberSettings{
			HeartbeatInterval: durationpb.New(150 * time.Millisecond),
			DeadAfter:         durationpb.New(time.Second),
		},
		Replica: &pb.ReplicaSettings{
			OutageGrace:  durationpb.New(2 * time.Second),
			PollInterval: durationpb.New(400 * time.Millisecond),
		},
		Retry: &pb.RetrySettings{
			Ratio:  0.2,
			Window: durationpb.New(10 * time.Second),
			Slack:  50,
		},
		Quota: &pb.QuotaSettings{Window: durationpb.New(10 * time.Second), Over: 0.1},
		Weights: &pb.WeightsSettings{
			Lease:       durationpb.New(3 * time.Second),
			Concurrency: 3,
			Mode:        "retain",
			Deadline:    durationpb.New(8 * time.Second),
		},
		Overload: &pb.OverloadSettings{TargetUtilisation: 0.6, MemoryShare: defaultMemoryShare},
		Move:     &pb.MoveSettings{Share: 0.1, RollBack: durationpb.New(5 * time.Second)},
		Stop:     &pb.StopSettings{Grace: durationpb.New(8 * time.Second)},
		Log:      &pb.LogSettings{Level: "info", LinesPerSecond: 400},
	}
}

// Check validates the values of s. As s was not parsed from a file, all mistakes are reported
// at line 1.
func Check(s *pb.Settings) Mistakes { return check(s, &decoder{lines: map[string]int{}}) }

// checker validates values and collects the mistakes.
type checker struct {
	r        *decoder
	mistakes []Mistake
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.mistakes = append(c.mistakes, Mistake{c.r.line(path), path, fmt.Sprintf(format, args...)})
	}
}

func (c *checker) address(path, value string, required bool) {
	c.require(value != "" || !required, path, "is required")
	c.require(value == "" || addr.Valid(value), path, "%q is not IP:port", value)
}

func (c *checker) positive(path string, d *durationpb.Duration) {
	c.require(d.AsDuration() > 0, path, "must be more than 0")
}

func (c *checker) inRange(path string, v, low, high float64) {
	c.require(v >= low && v <= high, path, "must be %g to %g", low, high)
}

func check(s *pb.Settings, r *decoder) Mistakes {
	c := &checker{r: r}
	c.require(s.Host.Id != "", "host.id", "is required")
	c.require(s.Host.AvailabilityZone != "", "host.availability_zone", "is required")
	c.inRange("host.memory_mb", float64(s.Host.MemoryMb), 0, 1<<20)
	c.inRange("host.cores", s.Host.Cores, 0, 1e4)
	c.inRange("host.link_mbps", s.Host.LinkMbps, 0, 1e6)
	c.inRange("host.max_open_files", float64(s.Host.MaxOpenFiles), 0, 1<<30)
	c.address("listen.caller", s.Listen.Caller, true)
	c.address("listen.peer", s.Listen.Peer, true)
	c.address("listen.ready", s.Listen.Ready, false)
	c.address("listen.directory", s.Listen.Directory, false)
	c.address("listen.operator", s.Listen.Operator, false)
	c.address("listen.metrics", s.Listen.Metrics, false)
	c.address("platform.address", s.Platform.Address, true)
	c.durations(s)
	c.numbers(s)
	_, err := logrus.ParseLevel(s.Log.Level)
	c.require(err == nil, "log.level", "%q is not debug, info, warning or error", s.Log.Level)
	mode := s.Weights.Mode
	c.require(mode == "queue" || mode == "retain" || mode == "preempt", "weights.mode", "%q is not queue, retain or preempt", mode)
	return c.mistakes
}

func (c *checker) durations(s *pb.Settings) {
	c.positive("platform.call_timeout", s.Platform.CallTimeout)
	c.positive("request.default_deadline", s.Request.DefaultDeadline)
	c.positive("request.idle_timeout", s.Request.IdleTimeout)
	c.positive("request.answer_ttl", s.Request.AnswerTtl)
	c.positive("request.stall_timeout", s.Request.StallTimeout)
	c.positive("member.heartbeat_interval", s.Member.HeartbeatInterval)
	c.positive("replica.poll_interval", s.Replica.PollInterval)
	c.positive("retry.window", s.Retry.Window)
	c.positive("quota.window", s.Quota.Window)
	c.positive("weights.lease", s.Weights.Lease)
	c.positive("weights.deadline", s.Weights.Deadline)
	c.positive("move.roll_back", s.Move.RollBack)
	c.positive("stop.grace", s.Stop.Grace)
	c.require(s.Member.DeadAfter.AsDuration() > 2*s.Member.HeartbeatInterval.AsDuration(),
		"member.dead_after", "must be more than twice member.heartbeat_interval")
}

// defaultMemoryShare has no effect without host.memory_mb.
const defaultMemoryShare = 0.4

// maxMemoryShare leaves memory for the rest of the process: its tables, and garbage that is not
// collected yet.
const maxMemoryShare = 0.5

func (c *checker) numbers(s *pb.Settings) {
	c.inRange("request.max_body_bytes", float64(s.Request.MaxBodyBytes), 1<<10, 1<<30)
	c.inRange("request.max_header_bytes", float64(s.Request.MaxHeaderBytes), 1<<10, 1<<20)
	c.inRange("retry.ratio", s.Retry.Ratio, 0, 1)
	c.inRange("retry.slack", float64(s.Retry.Slack), 0, 1e6)
	c.inRange("quota.over", s.Quota.Over, 0, 1)
	c.inRange("quota.slack", s.Quota.Slack, 0, 1e12)
	c.inRange("move.share", s.Move.Share, 0, 1)
	c.inRange("move.slack", s.Move.Slack, 0, 1e6)
	c.inRange("overload.target_utilisation", s.Overload.TargetUtilisation, 0.1, 1)
	c.inRange("overload.memory_share", s.Overload.MemoryShare, 0, maxMemoryShare)
	share := s.Overload.MemoryShare
	c.require(share == 0 || share == defaultMemoryShare || s.Host.MemoryMb > 0, "overload.memory_share", "needs host.memory_mb")
	c.inRange("weights.concurrency", float64(s.Weights.Concurrency), 1, 1e4)
	c.inRange("log.lines_per_second", float64(s.Log.LinesPerSecond), 1, 1e6)
}
