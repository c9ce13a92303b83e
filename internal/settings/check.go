package settings

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/addr"
)

// maxSkew is how far a caller's clock may run ahead of the platform's.
const maxSkew = time.Minute

const tokenHashBytes = 32

// Defaults returns settings with every default, and nothing that is required.
func Defaults() *pb.Settings {
	return &pb.Settings{
		Host:      &pb.HostSettings{},
		Listen:    &pb.ListenSettings{},
		Operators: &pb.OperatorSettings{},
		Platform: &pb.PlatformSettings{
			CallTimeout: durationpb.New(2 * time.Second),
			Retention:   durationpb.New(time.Hour),
		},
		Request: &pb.RequestSettings{
			MaxBodyBytes:    8 << 20,
			MaxHeaderBytes:  32 << 10,
			MaxStreams:      2000,
			DefaultDeadline: durationpb.New(time.Minute),
			IdleTimeout:     durationpb.New(10 * time.Second),
			RetryRatio:      0.2,
		},
		Prefix: &pb.PrefixSettings{PieceBytes: 2000, MaxPieces: 1_000_000},
		Route: &pb.RouteSettings{
			RecomputeWeight: 0.5,
			PollInterval:    durationpb.New(200 * time.Millisecond),
			DownAfter:       durationpb.New(2 * time.Second),
			BorrowWait:      durationpb.New(200 * time.Millisecond),
			FirstTokenLimit: durationpb.New(10 * time.Second),
		},
		Member: &pb.MemberSettings{
			HeartbeatInterval: durationpb.New(500 * time.Millisecond),
			DeadAfter:         durationpb.New(3 * time.Second),
			FanOut:            8,
			OutOfTouchAfter:   durationpb.New(5 * time.Second),
			AnswerTtl:         durationpb.New(5 * time.Second),
			StopTimeout:       durationpb.New(5 * time.Minute),
		},
		Claim: &pb.ClaimSettings{
			MaxKeyAge:     durationpb.New(10 * time.Minute),
			Wait:          durationpb.New(3 * time.Second),
			GroupInterval: durationpb.New(20 * time.Millisecond),
		},
		Log: &pb.LogSettings{Level: "info", Format: "json"},
	}
}

// checker collects mistakes about values.
type checker struct {
	r        *reader
	mistakes []Mistake
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.mistakes = append(c.mistakes, Mistake{c.r.line(path), path, fmt.Sprintf(format, args...)})
	}
}

func (c *checker) address(path, value string) {
	c.require(value != "", path, "is required")
	c.require(value == "" || addr.Valid(value), path, "%q is not IP:port", value)
}

func (c *checker) positive(path string, d *durationpb.Duration) {
	c.require(d.AsDuration() > 0, path, "must be more than 0")
}

func (c *checker) within(path string, v, low, high float64) {
	c.require(v >= low && v <= high, path, "must be %g to %g", low, high)
}

func check(s *pb.Settings, r *reader) []Mistake {
	c := &checker{r: r}
	c.require(s.Host.Id != "", "host.id", "is required")
	c.require(s.Host.AvailabilityZone != "", "host.availability_zone", "is required")
	c.address("listen.caller", s.Listen.Caller)
	c.address("listen.operator", s.Listen.Operator)
	c.address("listen.peer", s.Listen.Peer)
	c.address("platform.address", s.Platform.Address)
	c.tokens(s.Operators.Tokens)
	c.durations(s)
	c.numbers(s)
	_, err := logrus.ParseLevel(s.Log.Level)
	c.require(err == nil, "log.level", "%q is not debug, info, warning or error", s.Log.Level)
	c.require(s.Log.Format == "json" || s.Log.Format == "text", "log.format", "%q is not json or text", s.Log.Format)
	return c.mistakes
}

func (c *checker) tokens(tokens []*pb.OperatorToken) {
	c.require(len(tokens) > 0, "operators.tokens", "is required")
	for i, t := range tokens {
		path := fmt.Sprintf("operators.tokens[%d]", i)
		c.require(t.Name != "", path+".name", "is required")
		hash, err := hex.DecodeString(t.Sha256)
		c.require(err == nil && len(hash) == tokenHashBytes, path+".sha256", "is not the 64 hex digits of a SHA-256")
	}
}

func (c *checker) durations(s *pb.Settings) {
	c.positive("platform.call_timeout", s.Platform.CallTimeout)
	c.positive("platform.retention", s.Platform.Retention)
	c.positive("request.default_deadline", s.Request.DefaultDeadline)
	c.positive("request.idle_timeout", s.Request.IdleTimeout)
	c.positive("route.poll_interval", s.Route.PollInterval)
	c.positive("route.down_after", s.Route.DownAfter)
	c.positive("route.borrow_wait", s.Route.BorrowWait)
	c.positive("route.first_token_limit", s.Route.FirstTokenLimit)
	c.positive("member.heartbeat_interval", s.Member.HeartbeatInterval)
	c.positive("member.out_of_touch_after", s.Member.OutOfTouchAfter)
	c.positive("member.answer_ttl", s.Member.AnswerTtl)
	c.positive("member.stop_timeout", s.Member.StopTimeout)
	c.positive("claim.max_key_age", s.Claim.MaxKeyAge)
	c.positive("claim.wait", s.Claim.Wait)
	c.positive("claim.group_interval", s.Claim.GroupInterval)
	c.require(s.Member.DeadAfter.AsDuration() > 2*s.Member.HeartbeatInterval.AsDuration(),
		"member.dead_after", "must be more than twice member.heartbeat_interval")
	c.require(s.Claim.MaxKeyAge.AsDuration()+maxSkew < s.Platform.Retention.AsDuration(),
		"claim.max_key_age", "must be below platform.retention by more than %s", maxSkew)
}

func (c *checker) numbers(s *pb.Settings) {
	c.within("request.max_body_bytes", float64(s.Request.MaxBodyBytes), 1<<10, 1<<30)
	c.within("request.max_header_bytes", float64(s.Request.MaxHeaderBytes), 1<<10, 1<<20)
	c.within("request.max_streams", float64(s.Request.MaxStreams), 1, 1e6)
	c.within("request.retry_ratio", s.Request.RetryRatio, 0, 1)
	c.within("prefix.piece_bytes", float64(s.Prefix.PieceBytes), 16, 1<<20)
	c.within("prefix.max_pieces", float64(s.Prefix.MaxPieces), 1000, 1e8)
	c.within("route.recompute_weight", s.Route.RecomputeWeight, 0, 1)
	c.within("member.fan_out", float64(s.Member.FanOut), 1, 64)
}
