package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/briarlink/briarlink/test/standin/wire"
)

// The seeds from hostileSeeds to lastHostileSeed put callers that do not behave beside ordinary ones, on hosts with little
// memory, of which one is killed meanwhile in every second seed.
const (
	hostileSeeds    = 15000
	lastHostileSeed = 15999
	// hostilePerHost is the number of callers of a host that do not behave.
	hostilePerHost = 150
)

// hostile are callers that do not behave.
const hostile overloadKind = "hostile"

func planHostile(seed uint64) overloadPlan {
	rng := rand.New(rand.NewPCG(seed, hostileSeeds))
	p := overloadPlan{kind: hostile, hosts: 3, slots: []int{4, 4, 4, 4}, rate: 8}
	if seed%2 == 1 {
		p.faultAt = time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))
		p.faultTime = 500 * time.Millisecond
		p.victim = rng.IntN(p.hosts)
	}
	return p
}

// hostileKinds write what a caller that does not behave sends over one connection. Writes fail once the host has
// closed the connection.
var hostileKinds = []func(w *hostileWriter){
	func(*hostileWriter) {},
	func(w *hostileWriter) { w.repeat("\r\n\r\n", 64<<10) },
	func(w *hostileWriter) {
		w.begin("GET", "/files/1")
		w.repeat("X-Filler: "+strings.Repeat("x", 4<<10)+"\r\n", 64)
	},
	func(w *hostileWriter) { w.begin("GET", "/files/1"); w.repeat(shortFields, 1) },
	func(w *hostileWriter) {
		w.begin("POST", "/uploads/1")
		w.repeat(shortFields+"Content-Length: 10\r\n\r\n", 1)
	},
	func(w *hostileWriter) {
		w.begin("POST", "/nowhere/1")
		w.repeat("Content-Length: 100000\r\n\r\nx", 1)
	},
	func(w *hostileWriter) {
		w.begin("POST", "/uploads/1")
		w.repeat(fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBody), 1)
		w.repeat(chunkOf(4<<10), largeBody/(4<<10)-1)
	},
	func(w *hostileWriter) { w.chunked(256 << 10) },
	func(w *hostileWriter) { w.chunked(16) },
	func(w *hostileWriter) { w.chunked(1) },
}

var shortFields = func() string {
	var b strings.Builder
	for n := range 4000 {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}()

func chunkOf(size int) string { return strings.Repeat("x", size) }

// hostileWriter writes to one connection until it fails.
type hostileWriter struct {
	net net.Conn
	key string
	err error
}

func (w *hostileWriter) repeat(text string, n int) {
	for ; n > 0 && w.err == nil; n-- {
		_, w.err = io.WriteString(w.net, text)
	}
}

func (w *hostileWriter) begin(method, target string) {
	w.repeat(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n", method, target, hostName, wire.Key, w.key, wire.Attempt, uuid.NewString()), 1)
}

// chunked writes 2 MB in chunks, without an end.
func (w *hostileWriter) chunked(size int) {
	w.begin("POST", "/uploads/1")
	w.repeat("Transfer-Encoding: chunked\r\n\r\n", 1)
	one := fmt.Sprintf("%x\r\n%s\r\n", size, chunkOf(size))
	several := strings.Repeat(one, max(1, 4<<10/size))
	w.repeat(several, 2<<20/size*len(one)/len(several))
}

// hostileCall misbehaves in the n-th way of the seed until the host closes the connection or ctx ends.
func (l *overloadLoad) hostileCall(ctx context.Context, h *host, n int) {
	conn, err := net.DialTimeout("tcp4", h.caller(), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	rng := rand.New(rand.NewPCG(l.fx.seed, uint64(n)))
	go func() {
		hostileKinds[rng.IntN(len(hostileKinds))](&hostileWriter{net: conn, key: organisationKey(n % organisations)})
	}()
	// The host may answer, or close the connection at any moment.
	_, _ = io.Copy(io.Discard, conn)
}

// checkHostile checks that the hosts stay within their memory and that ordinary callers get answers.
func (fx *fixture) checkHostile(l *overloadLoad) string {
	others := l.countServed(0, organisations-1)
	if others.inTime == 0 {
		fx.observed.fail("none of %d ordinary requests were served", others.all)
	}
	return others.String() + fx.checkMemory(l)
}
