package node

import (
	"context"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// maxTransfers bounds the snapshots given to starting peers at once, so that a
// herd of restarts does not stop this host from serving.
const maxTransfers = 2

// peerService answers other entry hosts.
type peerService struct {
	n *Node
}

// Heartbeat implements PeerService.
func (p *peerService) Heartbeat(_ context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	now := time.Now()
	p.n.members.Merge(req.Hosts, now)
	p.n.limiter.Heard(req.From, req.Demand)
	for _, hint := range req.Replicas {
		if hint.Leaving {
			p.n.replicas.Bar(hint.BackendServer, hint.Incarnation)
		}
	}
	return &pb.HeartbeatResponse{Hosts: p.n.members.Entries(now)}, nil
}

// TellWork implements PeerService.
func (p *peerService) TellWork(_ context.Context, req *pb.TellWorkRequest) (*pb.TellWorkResponse, error) {
	p.n.replicas.SentByPeer(req.Work, time.Now())
	return &pb.TellWorkResponse{}, nil
}

// begin takes a transfer slot; done gives it back.
func (p *peerService) begin() (done func(), ok bool) {
	select {
	case p.n.transfers <- struct{}{}:
		return func() { <-p.n.transfers }, true
	default:
		return nil, false
	}
}

// FetchState implements PeerService.
func (p *peerService) FetchState(_ context.Context, req *pb.FetchStateRequest) (*pb.FetchStateResponse, error) {
	cur := p.n.store.Current()
	if cur == nil || cur.Next < req.HaveOffset {
		return &pb.FetchStateResponse{}, nil
	}
	done, ok := p.begin()
	if !ok {
		return &pb.FetchStateResponse{Busy: true}, nil
	}
	defer done()
	return &pb.FetchStateResponse{State: cur.Encode()}, nil
}

// FetchIndex implements PeerService.
func (p *peerService) FetchIndex(_ context.Context, req *pb.FetchIndexRequest) (*pb.FetchIndexResponse, error) {
	done, ok := p.begin()
	if !ok {
		return &pb.FetchIndexResponse{Busy: true}, nil
	}
	defer done()
	resp := &pb.FetchIndexResponse{}
	for _, run := range p.n.index.Export(int(min(req.Limit, warmUpPieces))) {
		out := &pb.IndexRun{BackendServer: run.ID, Incarnation: run.Incarnation}
		for _, h := range run.Pieces {
			out.Hashes = append(out.Hashes, uint64(h))
		}
		resp.Runs = append(resp.Runs, out)
	}
	return resp, nil
}
