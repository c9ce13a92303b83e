package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

const (
	// fetchTimeout bounds a fetch of records from another host.
	fetchTimeout = 800 * time.Millisecond
	// maxServed is the number of fetches that a host serves at once. When a fleet
	// starts, the first host that knows the records would else be asked by all; those
	// turned away ask the next that tells them.
	maxServed = 8
)

// catchUp fetches records that another host has applied and this one lacks.
func (n *Node) catchUp(b *pb.Heartbeat) {
	for _, t := range n.shared() {
		ahead := position(b, t.Name()) > t.End() || !t.Synced() && position(b, t.Name()) > 0
		if !ahead {
			continue
		}
		if _, busy := n.fetching.LoadOrStore(t.Name(), true); busy {
			continue
		}
		go func() {
			defer n.fetching.Delete(t.Name())
			n.fetch(t, b.Host, b.PeerAddress)
		}()
	}
}

func (n *Node) fetch(t *topic.Table, host, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	from := t.End()
	if !t.Synced() {
		from = 0
	}
	resp, err := n.peers.FetchRecords(ctx, address, &pb.FetchRecordsRequest{Topic: t.Name(), From: from, AvailabilityZone: n.settings.Host.AvailabilityZone})
	if err != nil {
		n.notFetched(t, host, err)
		return
	}
	records := make([]platform.Record, 0, len(resp.Records))
	for _, r := range resp.Records {
		records = append(records, platform.Record{Key: r.Key, Value: r.Value, Offset: r.Offset, Removed: r.Removed})
	}
	taken := t.MergeAll(records, resp.End, resp.Trusted)
	n.becomeReady()
	if taken > 0 {
		n.fetched(t, host, taken, resp.End)
	}
}

// fetchLines bounds the lines on fetches of a topic: while the store is lost, each
// heartbeat of a host that knows more leads to a fetch.
type fetchLines struct{ taken, failed obs.Limiter }

// fetched logs records that another host had.
func (n *Node) fetched(t *topic.Table, host string, taken int, end int64) {
	others, ok := n.fetchLines[t.Name()].taken.Allow(clock.Now())
	if !ok {
		return
	}
	n.log.WithFields(logrus.Fields{
		"host": host, "topic": t.Name(), "records": taken, "end": end, "others": others,
	}).Info("records taken from another host")
}

// notFetched logs that another host did not give its records.
func (n *Node) notFetched(t *topic.Table, host string, err error) {
	if others, ok := n.fetchLines[t.Name()].failed.Allow(clock.Now()); ok {
		n.log.WithError(err).WithFields(logrus.Fields{"host": host, "topic": t.Name(), "others": others}).Info("records not fetched from another host")
	}
}

// peerService answers other hosts.
type peerService struct {
	n *Node
}

var (
	errNoTopic = errors.New("this host does not have the topic")
	errBusy    = errors.New("this host serves as many others as it can")
)

// FetchRecords implements the peer service.
func (p *peerService) FetchRecords(_ context.Context, in *pb.FetchRecordsRequest) (*pb.FetchRecordsResponse, error) {
	if !p.n.serving.TryAcquire(1) {
		return nil, errBusy
	}
	defer p.n.serving.Release(1)
	for _, t := range p.n.shared() {
		if t.Name() != in.Topic || !t.Synced() {
			continue
		}
		records, end := t.From(in.From)
		out := &pb.FetchRecordsResponse{End: end, Trusted: p.n.access.Stable(clock.Now())}
		for _, r := range records {
			out.Records = append(out.Records, &pb.TopicRecord{Key: r.Key, Value: r.Value, Offset: r.Offset, Removed: r.Removed})
		}
		p.n.metrics.Moved(obs.Records, in.AvailabilityZone == p.n.settings.Host.AvailabilityZone, proto.Size(out))
		return out, nil
	}
	return nil, errNoTopic
}
