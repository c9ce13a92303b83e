package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simTick      = 5 * time.Millisecond
	simHeartbeat = 150 * time.Millisecond
	// simQueueTime is how long a request waits at a server before it runs, and simCrashDelay how long
	// a server then takes to crash.
	simQueueTime  = 30 * time.Millisecond
	simCrashDelay = 100 * time.Millisecond
	// propagationTime is the time after the fifth crash from which on at most maxLaterSends requests
	// with the block may be sent.
	propagationTime  = 3 * time.Second
	countedCrashes   = 5
	maxLaterSends    = 3
	maxDetectionTime = 100 * time.Millisecond
)

// simulation is a fleet of hosts that send requests to servers in virtual time. Requests consist of a
// first block that most have, a block of their organisation, some the block of a conversation, and,
// if they are poison, one of the crash blocks.
type simulation struct {
	hosts, servers int
	// rate is the number of sound requests a second, and duration the mean time that one runs.
	rate     float64
	duration time.Duration
	// organisations is the number of organisations, the first of which sends half of the requests. If
	// rareOrganisation is set, the requests of the last one are poison but for a few.
	organisations    int
	rareOrganisation bool
	// poisonRate is the number of poison requests a second, and crashBlocks the number of blocks that
	// crash servers. With poisonFirst they are first in the prompt, without the common first block.
	poisonRate  float64
	crashBlocks int
	poisonFirst bool
	// burst sends poison requests in groups of this many at once.
	burst int
	// downtime is how long a server that ended is down.
	downtime time.Duration
	// restarts is the interval at which one host after the other restarts with an empty table; 0 for
	// none.
	restarts time.Duration
	// outages end this many servers at these times, for another reason.
	outages map[time.Duration]int
	seed    uint64

	rng     *rand.Rand
	tables  []*Table
	started []time.Time
	fleet   []*simServer
	pending []simDetection
	now     time.Time
	began   time.Time
	next    int
	// crashes are the times of crashes under poison requests by crash block, and sends the times at
	// which such requests were sent.
	crashes, sends     [][]time.Time
	sound, soundDenied int
	deniedBlocks       map[string]int
}

type simServer struct {
	incarnation Server
	downUntil   time.Time
	running     []*simRequest
}

type simRequest struct {
	Fingerprint
	host      int
	poison    int // Index of the crash block, -1 for a sound request.
	runs      time.Time
	ends      time.Time
	cancelled bool
	stop      func()
}

type simDetection struct {
	host    int
	at      time.Time
	crash   time.Time
	server  Server
	running []Fingerprint
}

func (s *simulation) run(length time.Duration) {
	s.rng = rand.New(rand.NewPCG(s.seed, 1))
	s.began, s.now = start, start
	s.deniedBlocks = map[string]int{}
	s.crashes, s.sends = make([][]time.Time, s.crashBlocks), make([][]time.Time, s.crashBlocks)
	for range s.hosts {
		s.tables = append(s.tables, newTable())
		s.started = append(s.started, start.Add(-warmUp))
	}
	for range s.servers {
		s.next++
		s.fleet = append(s.fleet, &simServer{incarnation: Server(s.next)})
	}
	for ; s.now.Sub(s.began) < length; s.now = s.now.Add(simTick) {
		s.restart()
		s.arrive()
		for _, server := range s.fleet {
			s.serve(server)
		}
		s.endServers(s.outages[s.now.Sub(s.began)])
		s.detect()
		s.exchange()
	}
}

// restart restarts a host if it is time.
func (s *simulation) restart() {
	since := s.now.Sub(s.began)
	if s.restarts == 0 || since == 0 || since%s.restarts != 0 {
		return
	}
	host := int(since/s.restarts) % s.hosts
	s.tables[host] = NewTable(s.tables[host].log, s.now)
	s.started[host] = s.now
}

// arrive sends the requests of one tick.
func (s *simulation) arrive() {
	for range s.poisson(s.rate) {
		s.send(s.newRequest())
	}
	// Poison requests begin once the others have run for a while.
	if s.crashBlocks == 0 || s.now.Sub(s.began) < 2*time.Second {
		return
	}
	for range s.poisson(s.poisonRate / float64(s.burst)) {
		for range s.burst {
			s.send(s.newPoison())
		}
	}
}

func (s *simulation) poisson(rate float64) int {
	n := 0
	for at := s.rng.ExpFloat64() / rate; at < simTick.Seconds(); at += s.rng.ExpFloat64() / rate {
		n++
	}
	return n
}

func (s *simulation) newRequest() *simRequest {
	organisation := 0
	if s.rng.IntN(2) == 0 {
		organisation = s.rng.IntN(s.organisations)
	}
	if s.rareOrganisation && organisation == s.organisations-1 && s.rng.IntN(20) > 0 {
		organisation = 0
	}
	blocks := []string{"first", fmt.Sprint("org", organisation)}
	if s.rng.IntN(2) == 0 {
		blocks = append(blocks, fmt.Sprint("conversation", s.rng.IntN(1000)))
	}
	return s.request(blocks, -1)
}

func (s *simulation) newPoison() *simRequest {
	n := s.rng.IntN(s.crashBlocks)
	bad := fmt.Sprint("crash", n)
	if s.poisonFirst {
		return s.request([]string{bad, fmt.Sprint("conversation", s.rng.IntN(1000))}, n)
	}
	return s.request([]string{"first", fmt.Sprint("org", s.organisations-1), bad}, n)
}

func (s *simulation) request(blocks []string, poison int) *simRequest {
	s.next++
	r := &simRequest{host: s.rng.IntN(s.hosts), poison: poison, Fingerprint: Fingerprint{Request: Digest(1_000_000 + s.next), Prompt: true}}
	for _, b := range blocks {
		r.Blocks = append(r.Blocks, BlockDigest("", b))
	}
	table := s.tables[r.host]
	if refusal, refused := table.Check(r.Fingerprint, s.now); refused && poison < 0 && refusal.Block >= 0 {
		s.deniedBlocks[blocks[refusal.Block]]++
	}
	return r
}

// send sends a request to a server that is up, unless it is refused or there is none.
func (s *simulation) send(r *simRequest) {
	table := s.tables[r.host]
	if r.poison < 0 {
		s.sound++
	}
	if _, refused := table.Check(r.Fingerprint, s.now); refused {
		if r.poison < 0 {
			s.soundDenied++
		}
		return
	}
	var up []*simServer
	for _, server := range s.fleet {
		if !s.now.Before(server.downUntil) {
			up = append(up, server)
		}
	}
	if len(up) == 0 {
		return
	}
	if r.poison >= 0 && s.now.Sub(s.started[r.host]) > propagationTime {
		s.sends[r.poison] = append(s.sends[r.poison], s.now)
	}
	r.runs = s.now.Add(simQueueTime)
	r.ends = r.runs.Add(time.Duration((0.5 + s.rng.Float64()) * float64(s.duration)))
	if r.poison >= 0 {
		r.ends = r.runs.Add(simCrashDelay)
	}
	r.stop = table.OnRefused(r.Fingerprint, s.now, func() { r.cancelled = r.cancelled || s.now.Before(r.runs) })
	server := up[s.rng.IntN(len(up))]
	server.running = append(server.running, r)
}

// serve ends the requests whose time has come: they are answered, or crash the server.
func (s *simulation) serve(server *simServer) {
	kept := server.running[:0]
	crashed := -1
	for _, r := range server.running {
		switch {
		case r.cancelled:
			r.stop()
		case s.now.Before(r.ends):
			kept = append(kept, r)
		case r.poison >= 0:
			crashed = r.poison
			kept = append(kept, r)
		default:
			r.stop()
			s.tables[r.host].Answered(r.Fingerprint, s.now, s.now)
		}
	}
	server.running = kept
	if crashed >= 0 {
		s.crashes[crashed] = append(s.crashes[crashed], s.now)
		s.end(server)
	}
}

// end ends an incarnation of a server with all that it runs.
func (s *simulation) end(server *simServer) {
	byHost := map[int][]Fingerprint{}
	for _, r := range server.running {
		r.stop()
		byHost[r.host] = append(byHost[r.host], r.Fingerprint)
	}
	for host := range s.hosts {
		if running := byHost[host]; len(running) > 0 {
			delay := 20*time.Millisecond + time.Duration(s.rng.Int64N(int64(maxDetectionTime)))
			s.pending = append(s.pending, simDetection{host, s.now.Add(delay), s.now, server.incarnation, running})
		}
	}
	s.next++
	server.incarnation = Server(s.next)
	server.running = nil
	server.downUntil = s.now.Add(s.downtime)
}

func (s *simulation) endServers(n int) {
	for _, i := range s.rng.Perm(len(s.fleet)) {
		if n > 0 && !s.now.Before(s.fleet[i].downUntil) {
			s.end(s.fleet[i])
			n--
		}
	}
}

func (s *simulation) detect() {
	kept := s.pending[:0]
	for _, d := range s.pending {
		if s.now.Before(d.at) {
			kept = append(kept, d)
			continue
		}
		s.tables[d.host].Crashed(d.server, d.running, d.crash, s.now)
	}
	s.pending = kept
}

// exchange delivers the heartbeats of one tick: those at the interval, and those at once.
func (s *simulation) exchange() {
	for i, from := range s.tables {
		round := s.now.Sub(s.began)%simHeartbeat == time.Duration(i%30)*simTick
		if !round && !from.HasUnreported() {
			continue
		}
		reports := from.Changes(s.now, round)
		if len(reports) == 0 {
			continue
		}
		for j, to := range s.tables {
			if i != j {
				to.ApplyReport(reports, s.now)
			}
		}
	}
}

// laterSends returns the number of requests with each crash block that were sent from
// propagationTime after its fifth crash on.
func (s *simulation) laterSends() []int {
	out := make([]int, s.crashBlocks)
	for block, crashes := range s.crashes {
		for _, at := range s.sends[block] {
			if len(crashes) >= countedCrashes && at.After(crashes[countedCrashes-1].Add(propagationTime)) {
				out[block]++
			}
		}
	}
	return out
}

func (s *simulation) String() string {
	return fmt.Sprintf("%d hosts, %d servers, %.1f requests/s of %v, %.1f poison/s, %d blocks, first %v, bursts of %d, rare %v, down %v, restarts %v, outages %v, seed %d",
		s.hosts, s.servers, s.rate, s.duration, s.poisonRate, s.crashBlocks, s.poisonFirst, s.burst, s.rareOrganisation, s.downtime, s.restarts, s.outages, s.seed)
}

// simSeeds is the number of simulations of each test, with seeds from simFirst on.
var (
	simSeeds = flag.Uint64("sim.seeds", 8, "simulated fleets of each test")
	simFirst = flag.Uint64("sim.first", 1, "seed of the first simulated fleet")
)

// simulate runs check with a simulation for each seed, and further draws from its own generator.
func simulate(t *testing.T, check func(s *simulation, draw *rand.Rand)) {
	t.Parallel()
	for seed := *simFirst; seed < *simFirst+*simSeeds; seed++ {
		draw := rand.New(rand.NewPCG(seed, 2))
		check(&simulation{
			hosts: pick(draw, 3, 9, 24), servers: pick(draw, 3, 6, 12, 30),
			rate: pick(draw, 2.0, 20, 100, 200), duration: pick[time.Duration](draw, 100, 300, 1000) * time.Millisecond,
			organisations: 8, rareOrganisation: pick(draw, true, false), burst: 1,
			downtime: pick[time.Duration](draw, 500, 4000) * time.Millisecond, seed: seed,
		}, draw)
	}
}

func pick[T any](draw *rand.Rand, choices ...T) T { return choices[draw.IntN(len(choices))] }

// TestBlocksThatCrashServersAreRefused checks, for fleets of different sizes and loads, that at most
// three requests with a block that crashes servers are sent later than propagationTime after its
// fifth crash, and that no other request is refused, though some share all other blocks with these.
func TestBlocksThatCrashServersAreRefused(t *testing.T) {
	simulate(t, func(s *simulation, draw *rand.Rand) {
		s.poisonRate = pick(draw, 0.5, 1, 5, 20)
		s.crashBlocks = pick(draw, 1, 2)
		s.poisonFirst = pick(draw, true, false)
		s.restarts = pick[time.Duration](draw, 0, 0, 700, 2000) * time.Millisecond
		s.run(time.Duration(min(30, 6+12*float64(s.crashBlocks)/s.poisonRate)) * time.Second)
		for block, n := range s.laterSends() {
			if n > maxLaterSends {
				t.Errorf("%v: %d later sends with block %d, %d crashes", s, n, block, len(s.crashes[block]))
			}
		}
		if s.soundDenied > 0 {
			t.Errorf("%v: %d of %d sound requests refused: %v", s, s.soundDenied, s.sound, s.deniedBlocks)
		}
	})
}

// TestOutagesRefuseNothing checks that servers which end for other reasons, half of them at once or one
// after the other, get no request refused.
func TestOutagesRefuseNothing(t *testing.T) {
	simulate(t, func(s *simulation, draw *rand.Rand) {
		s.run(s.drawOutages(draw, 1, 1, s.servers/2))
		if s.soundDenied > 0 {
			t.Errorf("%v: %d of %d requests refused: %v", s, s.soundDenied, s.sound, s.deniedBlocks)
		}
	})
}

// TestRepeatedTotalOutagesRefuseHardlyAnything checks the same for outages of all servers, again and
// again, while hardly any request is answered. At most five and one in 500 may be refused.
func TestRepeatedTotalOutagesRefuseHardlyAnything(t *testing.T) {
	simulate(t, func(s *simulation, draw *rand.Rand) {
		s.run(s.drawOutages(draw, 1, s.servers))
		if s.soundDenied > 5+s.sound/500 {
			t.Errorf("%v: %d of %d requests refused: %v", s, s.soundDenied, s.sound, s.deniedBlocks)
		}
	})
}

// drawOutages draws outages that end one of these numbers of servers each, and returns how long to run
// the simulation.
func (s *simulation) drawOutages(draw *rand.Rand, ended ...int) time.Duration {
	s.outages = map[time.Duration]int{}
	at := 2 * time.Second
	for range 1 + draw.IntN(12) {
		at += pick[time.Duration](draw, 5, 50, 300, 1000, 3000) * time.Millisecond
		s.outages[at] = pick(draw, ended...)
	}
	return at + 3*time.Second
}
