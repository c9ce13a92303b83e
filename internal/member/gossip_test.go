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

// TestMalformedHeartbeatsAreALineASecond: a routing host hears some 174 datagrams a second
// at 300 hosts and wrote a line, of those for which the log keeps room, about each that it
// could not read. Hosts of another version, or one sender, took the room of failed requests'
// lines.
func TestMalformedHeartbeatsAreALineASecond(t *testing.T) {
	const (
		heard   = 174
		seconds = 10
	)
	for name, bad := range map[string]func(*Gossip){
		"malformed heartbeat dropped": func(g *Gossip) {
			g.take([]byte("no heartbeat"), func(*pb.Heartbeat) { t.Error("it was heard") })
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
			for range heard * seconds {
				bad(g)
				time.Sleep(time.Second / heard)
			}
			t.Logf("%s: %d lines in %d s", name, strings.Count(out.String(), name), seconds)
			if got := strings.Count(out.String(), name); got < seconds-1 || got > seconds {
				t.Errorf("%s: %d lines in %d s", name, got, seconds)
			}
			if !strings.Contains(out.String(), "others=173") && !strings.Contains(out.String(), "others=174") {
				t.Errorf("%s: the others are not counted", name)
			}
		})
	}
}
