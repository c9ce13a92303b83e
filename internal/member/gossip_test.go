package member

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// TestMalformedHeartbeatsAreRateLimitedInTheLog guards the rate limit of log lines about
// malformed heartbeats. At 300 hosts a routing host receives some 174 datagrams per second
// and logged each that it could not decode, so that hosts of another version, or a single
// sender, used up the capacity of the log and lines about failed requests were dropped.
func TestMalformedHeartbeatsAreRateLimitedInTheLog(t *testing.T) {
	const (
		perSecond = 174
		seconds   = 10
	)
	for name, trigger := range map[string]func(*Gossip){
		"malformed heartbeat dropped": func(g *Gossip) {
			g.decode([]byte("no heartbeat"), func(*pb.Heartbeat) { t.Error("a malformed heartbeat was delivered") })
		},
		"malformed peer address": func(g *Gossip) { g.send(nil, "nowhere") },
		"heartbeat not encoded": func(g *Gossip) {
			g.Send([]*pb.Heartbeat{{Host: "\xff"}}, []string{"127.0.0.1:1"})
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			var out bytes.Buffer
			log := logrus.New()
			log.SetOutput(&out)
			g := NewGossip(nil, log)
			for range perSecond * seconds {
				trigger(g)
				time.Sleep(time.Second / perSecond)
			}
			t.Logf("%s: %d lines in %d s", name, strings.Count(out.String(), name), seconds)
			if got := strings.Count(out.String(), name); got < seconds-1 || got > seconds {
				t.Errorf("%s: %d lines in %d s", name, got, seconds)
			}
			if !strings.Contains(out.String(), "others=173") && !strings.Contains(out.String(), "others=174") {
				t.Errorf("%s: the number of suppressed lines is not reported", name)
			}
		})
	}
}
