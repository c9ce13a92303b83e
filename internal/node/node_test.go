package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
	"github.com/briarlink/briarlink/internal/admin"
	"github.com/briarlink/briarlink/internal/oai"
	"github.com/briarlink/briarlink/internal/obs"
	hostlist "github.com/briarlink/briarlink/internal/platform"
	"github.com/briarlink/briarlink/internal/settings"
	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/fault"
	"github.com/briarlink/briarlink/test/standin/platform"
)

const (
	testToken = "token"
	testKey   = "key"
)

// rig is a platform, two engines and some hosts in one process, over loopback.
type rig struct {
	t        testing.TB
	platform *platform.Server
	address  string
	hosts    []*testHost
	engines  []string
}

type testHost struct {
	node *Node
	stop context.CancelFunc
	done chan error
}

func newRig(t testing.TB, hosts int) *rig {
	r := &rig{t: t, platform: platform.New(fault.NewSwitch(1), time.Hour, 0)}
	r.address = r.serve(r.platform.Handler())
	for range 2 {
		e := engine.New(engine.Config{Model: "m", Version: "v1", PieceBytes: 100, CachePieces: 1000, Decode: 5 * time.Millisecond}, fault.NewSwitch(1))
		r.engines = append(r.engines, r.serve(e.Handler()))
	}
	for i := range hosts {
		r.start(i)
	}
	r.list()
	r.configure()
	return r
}

func (r *rig) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	r.t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// freeAddress returns an address nobody listens on.
func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (r *rig) start(i int) {
	s := settings.Defaults()
	s.Host = &pb.HostSettings{Id: fmt.Sprintf("h%d", i), AvailabilityZone: "z"}
	s.Listen = &pb.ListenSettings{Caller: freeAddress(r.t), Operator: freeAddress(r.t), Peer: freeAddress(r.t)}
	s.Platform.Address = r.address
	sum := sha256.Sum256([]byte(testToken))
	s.Operators.Tokens = []*pb.OperatorToken{{Name: "op", Sha256: hex.EncodeToString(sum[:])}}
	s.Prefix.PieceBytes = 100
	s.Member.HeartbeatInterval = durationpb.New(50 * time.Millisecond)
	s.Member.AnswerTtl = durationpb.New(300 * time.Millisecond)
	ctx, stop := context.WithCancel(context.Background())
	h := &testHost{node: New(s, obs.NewLogger(s.Log, io.Discard)), stop: stop, done: make(chan error, 1)}
	go func() { h.done <- h.node.Run(ctx) }()
	r.hosts = append(r.hosts, h)
}

// list puts every host on the platform's list.
func (r *rig) list() {
	var listed []*pb.ListedHost
	for _, h := range r.hosts {
		listed = append(listed, &pb.ListedHost{Id: h.node.settings.Host.Id, PeerAddress: h.node.settings.Listen.Peer})
	}
	r.platform.SetHosts(listed)
}

// eventually calls f until it is true; the test's own time limit ends it.
func eventually(f func() bool) {
	for !f() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *rig) admin(i int) briarlinkv1connect.AdminServiceClient {
	return admin.NewClient(r.hosts[i].node.settings.Listen.Operator, testToken)
}

func (r *rig) apply(kind pb.ObjectKind, id string, spec *pb.Spec) {
	r.t.Helper()
	change := &pb.Change{ChangeId: uuid.NewString(), Ref: &pb.ObjectRef{Kind: kind, Id: id}, Spec: spec}
	var resp *connect.Response[pb.ApplyChangeResponse]
	eventually(func() bool {
		var err error
		resp, err = r.admin(0).ApplyChange(r.t.Context(), connect.NewRequest(&pb.ApplyChangeRequest{Change: change, WaitInForce: true}))
		return err == nil
	})
	if resp.Msg.Outcome.Verdict != pb.Verdict_VERDICT_ACCEPTED {
		r.t.Fatalf("%s: %v", id, resp.Msg.Outcome)
	}
}

func (r *rig) configure() {
	key := sha256.Sum256([]byte(testKey))
	r.apply(pb.ObjectKind_OBJECT_KIND_MODEL, "m", &pb.Spec{Kind: &pb.Spec_Model{Model: &pb.Model{Version: "v1"}}})
	r.apply(pb.ObjectKind_OBJECT_KIND_ORGANISATION, "o", &pb.Spec{Kind: &pb.Spec_Organisation{Organisation: &pb.Organisation{
		ApiKeySha256: [][]byte{key[:]}, Grants: []*pb.ModelGrant{{Model: "m"}},
	}}})
	for i, address := range r.engines {
		r.apply(pb.ObjectKind_OBJECT_KIND_BACKEND_SERVER, fmt.Sprintf("e%d", i), &pb.Spec{Kind: &pb.Spec_BackendServer{
			BackendServer: &pb.BackendServer{Address: address, Model: "m"},
		}})
	}
	eventually(func() bool {
		for _, h := range r.hosts {
			if len(h.node.members.Serving(time.Now())) != len(r.hosts) || !h.node.replicas.Polled() {
				return false
			}
		}
		return true
	})
}

func (r *rig) stopAll() {
	for _, h := range r.hosts {
		h.stop()
	}
	for _, h := range r.hosts {
		if err := <-h.done; err != nil {
			r.t.Error(err)
		}
	}
}

func (r *rig) client() *caller.Client {
	c := &caller.Client{Key: testKey, HTTP: &http.Client{}}
	for _, h := range r.hosts {
		c.Known = append(c.Known, h.node.settings.Listen.Caller)
	}
	return c
}

func chatRequest(text string, tokens int) *oai.Request {
	return &oai.Request{Model: "m", MaxTokens: tokens, Messages: []oai.Message{{Role: "user", Content: text}}}
}

func TestGracefulStopCutsNothing(t *testing.T) {
	r := newRig(t, 2)
	client := r.client()
	leaving := client.Known[1]
	long := make(chan error, 1)
	go func() {
		_, err := client.Chat(t.Context(), leaving, chatRequest("long", 300), nil)
		long <- err
	}()
	eventually(func() bool { return r.hosts[1].node.entry.Open() == 1 })
	r.hosts[1].stop()
	eventually(func() bool { return len(r.hosts[0].node.members.Serving(time.Now())) == 1 })
	// A caller that was sent here before the stop still comes.
	if _, err := client.Chat(t.Context(), leaving, chatRequest("late", 3), nil); err != nil {
		t.Errorf("a request within the answer's time: %v", err)
	}
	if err := <-long; err != nil {
		t.Errorf("a stream open at the stop: %v", err)
	}
	answer, err := client.Hosts(t.Context(), "x")
	if err != nil || len(answer.Hosts) != 1 || answer.Hosts[0].Address == leaving {
		t.Errorf("hosts to use: %v, %v", answer, err)
	}
	r.stopAll()
}

func TestOrganisationsShareNothing(t *testing.T) {
	r := newRig(t, 1)
	other := sha256.Sum256([]byte("other"))
	r.apply(pb.ObjectKind_OBJECT_KIND_ORGANISATION, "p", &pb.Spec{Kind: &pb.Spec_Organisation{Organisation: &pb.Organisation{
		ApiKeySha256: [][]byte{other[:]}, Grants: []*pb.ModelGrant{{Model: "m"}},
	}}})
	text := strings.Repeat("a shared text. ", 100)
	cached := func(key string) int {
		client := r.client()
		client.Key = key
		answer, err := client.Chat(t.Context(), client.Known[0], chatRequest(text, 3), nil)
		if err != nil {
			t.Fatal(err)
		}
		return answer.Usage.Details.CachedTokens
	}
	if first, again := cached(testKey), cached(testKey); first != 0 || again == 0 {
		t.Errorf("own prompt: %d, then %d cached", first, again)
	}
	if n := cached("other"); n != 0 {
		t.Errorf("another organisation's prompt: %d cached", n)
	}
	r.stopAll()
}

func TestRestartWithoutTheLog(t *testing.T) {
	r := newRig(t, 1)
	// The log is out of reach for a host that starts; a peer has the state.
	address := r.address
	r.address = freeAddress(t)
	r.start(1)
	r.address = address
	fresh := r.hosts[1].node
	fresh.members.SetListed(listedOf(r.hosts[0].node))
	eventually(fresh.isReady)
	client := r.client()
	if _, err := client.Chat(t.Context(), client.Known[1], chatRequest("x", 3), nil); err != nil {
		t.Error(err)
	}
	r.stopAll()
}

func listedOf(n *Node) []hostlist.ListedHost {
	return []hostlist.ListedHost{{ID: n.settings.Host.Id, PeerAddress: n.settings.Listen.Peer}}
}
