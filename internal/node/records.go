package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/peer"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

const (
	// fetchTimeout bounds a fetch of records from another host, and fetchAllTimeout one of
	// a whole topic.
	fetchTimeout    = 800 * time.Millisecond
	fetchAllTimeout = 3 * time.Second
	// fetchElsewhere is how long a fetch may take until another host is asked too: it may
	// be about to stop.
	fetchElsewhere = 250 * time.Millisecond
	// refusedPause is the mean time until a host that did not serve a fetch is asked again.
	refusedPause = 400 * time.Millisecond
	// maxServed is the number of fetches that a host serves at once. When a fleet
	// starts, the first host that knows the records would else be asked by all; those
	// turned away ask the next that tells them.
	maxServed = 8
	// maxPacked is the number of deflated answers that are kept for the next host that asks
	// the same.
	maxPacked = 4
)

// fetches are the fetches of one topic from other hosts. It is safe for concurrent use; mu
// is its only lock.
type fetches struct {
	lines fetchLines

	mu sync.Mutex
	// running is the number of fetches under way, the last since began.
	running int
	began   time.Time
	// refused holds until when hosts are not asked again.
	refused map[string]time.Time
}

// begin reports whether to fetch from a host now, and counts the fetch if so. The whole topic
// is fetched from one host at a time.
func (f *fetches) begin(host string, whole bool, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.refused[host]) {
		return false
	}
	switch {
	case f.running == 0:
	case f.running == 1 && !whole && now.Sub(f.began) >= fetchElsewhere:
	default:
		return false
	}
	f.running++
	f.began = now
	return true
}

// end takes the end of a fetch.
func (f *fetches) end(host string, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	for other, until := range f.refused {
		if !now.Before(until) {
			delete(f.refused, other)
		}
	}
	if !ok {
		f.refused[host] = now.Add(refusedPause/2 + rand.N(refusedPause))
	}
}

// catchUp fetches records that another host has applied and this one lacks.
func (n *Node) catchUp(b *pb.Heartbeat) {
	for _, t := range n.shared() {
		whole := !t.Synced()
		at := position(b, t.Name())
		if at <= t.End() && !(whole && at != unknownPosition) {
			continue
		}
		now := clock.Now()
		if whole {
			n.recordsOffered.Note(now)
		}
		f := n.fetches[t.Name()]
		if !f.begin(b.Host, whole, now) {
			continue
		}
		go func() {
			err := n.fetch(t, b.Host, b.PeerAddress)
			f.end(b.Host, err == nil, clock.Now())
		}()
	}
}

// fetch takes from another host the records that this one lacks.
func (n *Node) fetch(t *topic.Table, host, address string) error {
	from, timeout := t.End(), fetchTimeout
	if !t.Synced() {
		from, timeout = 0, fetchAllTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := n.peers.FetchRecords(ctx, address, &pb.FetchRecordsRequest{Topic: t.Name(), From: from, AvailabilityZone: n.settings.Host.AvailabilityZone})
	if err != nil {
		n.notFetched(t, host, err)
		return err
	}
	sent, err := peer.Unpack(resp)
	if err != nil {
		n.notFetched(t, host, err)
		return err
	}
	records := make([]platform.Record, 0, len(sent))
	for _, r := range sent {
		records = append(records, platform.Record{Key: r.Key, Value: r.Value, Offset: r.Offset, Removed: r.Removed})
	}
	taken := t.MergeAll(records, resp.End, resp.Trusted)
	n.becomeReady()
	if taken > 0 {
		n.fetched(t, host, taken, resp.End)
	}
	return nil
}

// fetchLines bounds the lines on fetches of a topic: while the store is lost, each
// heartbeat of a host that knows more leads to a fetch.
type fetchLines struct{ taken, failed obs.Limiter }

// fetched logs records that another host had.
func (n *Node) fetched(t *topic.Table, host string, taken int, end int64) {
	others, ok := n.fetches[t.Name()].lines.taken.Allow(clock.Now())
	if !ok {
		return
	}
	n.log.WithFields(logrus.Fields{
		"host": host, "topic": t.Name(), "records": taken, "end": end, "others": others,
	}).Info("records taken from another host")
}

// notFetched logs that another host did not give its records.
func (n *Node) notFetched(t *topic.Table, host string, err error) {
	if others, ok := n.fetches[t.Name()].lines.failed.Allow(clock.Now()); ok {
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
		out, err := p.n.packed.answer(t, in.From)
		if err != nil {
			return nil, err
		}
		out.Trusted = p.n.access.Stable(clock.Now())
		size := proto.Size(out)
		if !p.n.maySend(in, size) {
			return nil, errBusy
		}
		p.n.metrics.Moved(obs.Records, in.AvailabilityZone == p.n.settings.Host.AvailabilityZone, size)
		return out, nil
	}
	return nil, errNoTopic
}

// maySend reports whether an answer may be sent now. Whole topics are for hosts that start,
// which can ask others; what a host lacks that has been told of more is sent at once.
func (n *Node) maySend(in *pb.FetchRecordsRequest, bytes int) bool {
	if in.From == 0 {
		return n.bulkSent.Afford(bytes)
	}
	n.bulkSent.Spend(bytes)
	return true
}

// span is what is asked of a topic, up to the end that is known.
type span struct {
	topic     string
	from, end int64
}

// packed keeps the last deflated answers: many hosts that start, or that lack a
// configuration, ask the same. It is safe for concurrent use; mu is its only lock.
type packed struct {
	mu   sync.Mutex
	last map[span][]byte
}

// answer returns the records of a topic from an offset on.
func (p *packed) answer(t *topic.Table, from int64) (*pb.FetchRecordsResponse, error) {
	end := t.End()
	if data := p.kept(span{t.Name(), from, end}); data != nil {
		return &pb.FetchRecordsResponse{End: end, Packed: data}, nil
	}
	found, end := t.From(from)
	out := &pb.FetchRecordsResponse{End: end}
	records := make([]*pb.TopicRecord, len(found))
	for i, r := range found {
		records[i] = &pb.TopicRecord{Key: r.Key, Value: r.Value, Offset: r.Offset, Removed: r.Removed}
	}
	if err := peer.Pack(records, out); err != nil {
		return nil, err
	}
	p.keep(span{t.Name(), from, end}, out.Packed)
	return out, nil
}

func (p *packed) kept(s span) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last[s]
}

func (p *packed) keep(s span, data []byte) {
	if len(data) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.last) >= maxPacked {
		clear(p.last)
	}
	p.last[s] = data
}
