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
	// fetchTimeout is the timeout of a fetch of records from another host, and fetchAllTimeout
	// that of a fetch of a whole topic.
	fetchTimeout    = 800 * time.Millisecond
	fetchAllTimeout = 3 * time.Second
	// secondFetchDelay is how long a fetch runs before a second host may be asked too, as the
	// first one may be stopping.
	secondFetchDelay = 250 * time.Millisecond
	// refusedBackoff is the mean delay before a host that did not serve a fetch is asked again.
	refusedBackoff = 400 * time.Millisecond
	// wholeTopicDelay is how long a host that received partial answers waits for the missing changes before it
	// fetches the whole topic. Hosts that read the store have them sooner.
	wholeTopicDelay = 600 * time.Millisecond
	// maxServedFetches is the maximum number of fetches that a host serves at once. Otherwise
	// all hosts of a starting fleet would fetch from the first one that has the records;
	// rejected ones ask the next host that offers them.
	maxServedFetches = 8
	// maxCachedResponses is the maximum number of compressed answers cached for hosts that ask
	// for the same records.
	maxCachedResponses = 4
)

// fetches tracks the fetches of one topic from other hosts. It is safe for concurrent use; mu is
// its only lock.
type fetches struct {
	logLimiters fetchLogLimiters

	mu sync.Mutex
	// running is the number of fetches in progress, of which the last one started at began.
	running int
	began   time.Time
	// retryAfter maps hosts that did not serve a fetch to the time from which they may be asked
	// again.
	retryAfter map[string]time.Time
	// retainedFrom maps hosts to the era in which they were asked for records of earlier eras.
	retainedFrom map[string]int64
	// partialAt is the position at which this host first received a partial answer, at partialSince.
	partialAt    topic.Position
	partialSince time.Time
}

// notePartial records a partial answer to a host that had applied a position.
func (f *fetches) notePartial(applied topic.Position, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.partialSince.IsZero() || f.partialAt != applied {
		f.partialAt, f.partialSince = applied, now
	}
}

// needsWhole reports whether the host is still at a position from which it has received partial answers for
// wholeTopicDelay: it neither reads the store nor finds a host with all changes.
func (f *fetches) needsWhole(applied topic.Position, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.partialSince.IsZero() && f.partialAt == applied && now.Sub(f.partialSince) >= wholeTopicDelay
}

// begin reports whether to fetch from a host now, and counts the fetch if so. A whole topic is
// fetched from only one host at a time.
func (f *fetches) begin(host string, wholeTopic bool, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.retryAfter[host]) {
		return false
	}
	switch {
	case f.running == 0:
	case f.running == 1 && !wholeTopic && now.Sub(f.began) >= secondFetchDelay:
	default:
		return false
	}
	f.running++
	f.began = now
	return true
}

// end records the end of a fetch.
func (f *fetches) end(host string, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	for other, until := range f.retryAfter {
		if !now.Before(until) {
			delete(f.retryAfter, other)
		}
	}
	if !ok {
		f.retryAfter[host] = now.Add(refusedBackoff/2 + rand.N(refusedBackoff))
	}
}

// catchUp fetches the records that another host has applied and this host has not.
func (n *Node) catchUp(b *pb.Heartbeat) {
	for _, t := range n.sharedTopics() {
		at := positionIn(b, t)
		if at == nil {
			continue
		}
		f := n.fetches[t.Name()]
		starting, applied := !t.Synced(), t.Position()
		ahead := topic.Position{Era: at.Era, Offset: at.End}.Compare(applied) > 0
		retains := at.Era == applied.Era && int(at.Retained) > t.Retained() && f.mayAskForRetained(b.Host, at.Era)
		if !starting && !ahead && !retains {
			continue
		}
		now := clock.Now()
		if starting {
			n.recordsOffered.Note(now)
		}
		// The operators' records are few and urgent. In a later era they are fetched like missing ones,
		// and the other host sends all of them, as this host's position is in another era.
		wholeTopic := starting || retains || at.Era > applied.Era && t != n.operators || f.needsWhole(applied, now)
		if !f.begin(b.Host, wholeTopic, now) {
			continue
		}
		go func() {
			err := n.fetch(t, wholeTopic, b.Host, b.PeerAddress)
			f.end(b.Host, err == nil, clock.Now())
			if err == nil && retains {
				f.askedForRetained(b.Host, at.Era)
			}
		}()
	}
}

// mayAskForRetained reports whether a host has not been asked for its records of earlier eras since
// the current one began.
func (f *fetches) mayAskForRetained(host string, era int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked, known := f.retainedFrom[host]
	return !known || asked != era
}

func (f *fetches) askedForRetained(host string, era int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retainedFrom[host] = era
}

// fetch fetches a whole topic, or this host's missing records, from another host.
func (n *Node) fetch(t *topic.Table, wholeTopic bool, host, address string) error {
	applied := t.Position()
	from, timeout := applied.Offset, fetchTimeout
	if wholeTopic {
		from, timeout = 0, fetchAllTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := n.peers.FetchRecords(ctx, address, &pb.FetchRecordsRequest{Topic: t.Name(), From: from, Era: applied.Era, AvailabilityZone: n.settings.Host.AvailabilityZone})
	if err != nil {
		n.logFetchFailure(t, host, err)
		return err
	}
	sent, err := peer.Unpack(resp)
	if err != nil {
		n.logFetchFailure(t, host, err)
		return err
	}
	at := topic.Position{Era: resp.Era, Offset: resp.End}
	extent, trusted := topic.Partial, resp.Trusted
	switch {
	case from == 0 || at.Era != applied.Era:
		// The other host may not have seen an outage that ended before it started.
		extent, trusted = topic.Whole, resp.Trusted && n.access.Stable(clock.Now())
	case resp.Covered:
		extent = topic.Changes
	}
	records := make([]platform.Record, 0, len(sent))
	for _, r := range sent {
		records = append(records, platform.Record{Key: r.Key, Value: r.Value, Offset: r.Offset, Removed: r.Removed, Era: r.Era})
	}
	newer := t.MergeFetched(topic.Fetched{Records: records, At: at, Extent: extent, Since: applied, Trusted: trusted})
	if extent == topic.Partial {
		n.logPartial(t, host, at)
		n.fetches[t.Name()].notePartial(applied, clock.Now())
		return errPartial
	}
	n.markReady()
	if newer > 0 {
		n.logFetched(t, host, newer, at)
	}
	return nil
}

// fetchLogLimiters rate-limit the log lines about fetches of a topic. While the store is
// unreachable, every heartbeat of a host with more records leads to a fetch.
type fetchLogLimiters struct{ applied, failed, partial obs.Limiter }

// logFetched logs that records of another host were applied.
func (n *Node) logFetched(t *topic.Table, host string, applied int, at topic.Position) {
	others, ok := n.fetches[t.Name()].logLimiters.applied.Allow(clock.Now())
	if !ok {
		return
	}
	n.log.WithFields(logrus.Fields{
		"host": host, "topic": t.Name(), "records": applied, "end": at.Offset, "era": at.Era, "others": others,
	}).Info("records taken from another host")
}

// logFetchFailure logs that a fetch from another host failed.
func (n *Node) logFetchFailure(t *topic.Table, host string, err error) {
	if others, ok := n.fetches[t.Name()].logLimiters.failed.Allow(clock.Now()); ok {
		n.log.WithError(err).WithFields(logrus.Fields{"host": host, "topic": t.Name(), "others": others}).Info("records not fetched from another host")
	}
}

// logPartial logs that another host sent records without all changes since this host's position.
func (n *Node) logPartial(t *topic.Table, host string, at topic.Position) {
	if others, ok := n.fetches[t.Name()].logLimiters.partial.Allow(clock.Now()); ok {
		n.log.WithFields(logrus.Fields{"host": host, "topic": t.Name(), "applied": t.End(), "end": at.Offset, "others": others}).
			Info("another host lacks changes that are missing here")
	}
}

// peerService answers calls of other hosts.
type peerService struct {
	n *Node
}

var (
	errNoTopic = errors.New("this host does not have the topic")
	errBusy    = errors.New("this host serves as many others as it can")
	errPartial = errors.New("the other host lacks changes since the requested position")
)

// FetchRecords implements the PeerService RPC.
func (p *peerService) FetchRecords(_ context.Context, in *pb.FetchRecordsRequest) (*pb.FetchRecordsResponse, error) {
	if !p.n.fetchSlots.TryAcquire(1) {
		return nil, errBusy
	}
	defer p.n.fetchSlots.Release(1)
	for _, t := range p.n.sharedTopics() {
		if t.Name() != in.Topic || !t.Synced() {
			continue
		}
		out, err := p.n.responses.response(t, topic.Position{Era: in.Era, Offset: in.From})
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

// maySend reports whether an answer may be sent now. Whole topics are requested by starting
// hosts, which can ask another host instead; missing records of a running host are always sent.
func (n *Node) maySend(in *pb.FetchRecordsRequest, bytes int) bool {
	if in.From == 0 {
		return n.bulkSends.TrySpend(bytes)
	}
	n.bulkSends.Spend(bytes)
	return true
}

// recordRange identifies an answer: the records of a topic from a position up to its known end.
type recordRange struct {
	topic    string
	from     topic.Position
	end      topic.Position
	retained int
	covered  bool
}

// responseCache keeps the last compressed answers, as many hosts that start or miss a
// configuration ask for the same records. It is safe for concurrent use; mu is its only lock.
type responseCache struct {
	mu       sync.Mutex
	deflated map[recordRange][]byte
}

// response returns the records of a topic from a position on, or all if the position is in another
// era than the topic.
func (c *responseCache) response(t *topic.Table, from topic.Position) (*pb.FetchRecordsResponse, error) {
	at := t.Position()
	if from.Offset == 0 || from.Era != at.Era {
		from = topic.Position{}
	}
	wanted := recordRange{t.Name(), from, at, t.Retained(), t.Covers(from)}
	if data := c.get(wanted); data != nil {
		return &pb.FetchRecordsResponse{End: wanted.end.Offset, Era: wanted.end.Era, Packed: data, Covered: wanted.covered}, nil
	}
	found, end, covered := t.RecordsFrom(from)
	out := &pb.FetchRecordsResponse{End: end.Offset, Era: end.Era, Covered: covered}
	records := make([]*pb.TopicRecord, len(found))
	for i, r := range found {
		records[i] = &pb.TopicRecord{Key: r.Key, Value: r.Value, Offset: r.Offset, Removed: r.Removed, Era: r.Era}
	}
	if err := peer.Pack(records, out); err != nil {
		return nil, err
	}
	if end == wanted.end && covered == wanted.covered {
		c.put(wanted, out.Packed)
	}
	return out, nil
}

func (c *responseCache) get(r recordRange) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deflated[r]
}

func (c *responseCache) put(r recordRange, data []byte) {
	if len(data) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.deflated) >= maxCachedResponses {
		clear(c.deflated)
	}
	c.deflated[r] = data
}
