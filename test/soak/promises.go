package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/wire"
)

const (
	// promiseSeeds and lastPromiseSeed limit the seeds in which plain servers are full and reject, name no request in
	// their rejections, send them twice, and answer requests that ran with a status that promises they did not.
	promiseSeeds, lastPromiseSeed = 14000, 14999
	promiseCallers                = 40
	promiseSlots                  = 4
	promiseWork                   = 30 * time.Millisecond
	// ownStatusEvery is how many runs there are for one that the server answers with such a status.
	ownStatusEvery = 10
	// maxExtraDelay limits the time after which a rejection is sent again.
	maxExtraDelay = 3 * time.Millisecond
	// loseTime is how long a connection is kept on which an answer was lost.
	loseTime = 5 * time.Second
)

func hasPromises(seed uint64) bool {
	return seed%fleetSeeds >= promiseSeeds && seed%fleetSeeds <= lastPromiseSeed
}

// promiseFaults are what the plain servers of a seed do.
type promiseFaults struct{ unnamed, again, ownStatus bool }

func drawPromiseFaults(seed uint64) promiseFaults {
	// Each seed has one of them at least.
	n := 1 + seed%7
	return promiseFaults{unnamed: n&1 > 0, again: n&2 > 0, ownStatus: n&4 > 0}
}

// options sets the options of a plain server.
func (f promiseFaults) options(o *engine.Options) {
	o.Slots, o.RejectsFull, o.Work = promiseSlots, true, promiseWork
	if f.ownStatus {
		o.OwnStatusEvery = ownStatusEvery
	}
}

// editPromises makes consecutive configurations differ in the time-outs of plain requests.
func editPromises(version int64, config object) {
	for _, route := range config["Routes"].([]object) {
		if route["RouteType"] != "streaming" {
			route["TimeoutMs"] = []int64{deadline.Milliseconds(), 300, 1492, 800}[version%4]
		}
	}
}

// talker serves HTTP from a handler as package net/http does, and sends what that would not.
type talker struct {
	promiseFaults
	handler  http.Handler
	listener net.Listener
	seed     uint64
	conns    atomic.Uint64
	// unnamedSent and extraSent count rejections without an ID and second copies.
	unnamedSent, extraSent atomic.Int64
}

func (s *talker) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn, rand.New(rand.NewPCG(s.seed, s.conns.Add(1))))
	}
}

func (s *talker) serve(conn net.Conn, rng *rand.Rand) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	late := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer, ok := s.answer(req)
		if !ok {
			return
		}
		rejects := answer.Header().Get(wire.NotRun) != "" || answer.Code == http.StatusMisdirectedRequest
		if rejects && s.unnamed {
			answer.Header().Del(wire.Attempt)
			s.unnamedSent.Add(1)
		}
		text := wireFormat(answer)
		if _, err := io.WriteString(conn, late+text); err != nil || req.Close {
			return
		}
		late = ""
		if !rejects || !s.again || rng.IntN(2) == 0 {
			continue
		}
		s.extraSent.Add(1)
		if rng.IntN(2) == 0 {
			late = text
			continue
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxExtraDelay))))
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// answer returns the handler's answer; ok is false if it sends none and its connection ends.
func (s *talker) answer(req *http.Request) (answer *httptest.ResponseRecorder, ok bool) {
	ctx, cancel := context.WithTimeout(req.Context(), loseTime)
	defer cancel()
	defer func() {
		if err := recover(); err != nil && err != http.ErrAbortHandler {
			panic(err)
		}
	}()
	answer = httptest.NewRecorder()
	s.handler.ServeHTTP(answer, req.WithContext(ctx))
	if ctx.Err() != nil {
		return nil, false
	}
	_, err := io.Copy(io.Discard, req.Body)
	return answer, err == nil
}

func wireFormat(answer *httptest.ResponseRecorder) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n", answer.Code, answer.Body.Len())
	// Writing to a buffer never fails.
	_ = answer.Header().WriteSubset(&b, map[string]bool{"Content-Length": true})
	b.WriteString("\r\n" + answer.Body.String())
	return b.String()
}

// countPromises says how many requests that must not run twice were answered with a promise, and with what beside.
func (fx *fixture) countPromises(requests []*request) {
	if !fx.promises {
		return
	}
	promised, mayHaveRun, served := 0, 0, 0
	for _, s := range requests {
		switch {
		case s.err != nil || !s.kind.atMostOnce():
		case notRun(s.answer.Status):
			promised++
		case s.answer.Status == http.StatusOK:
			served++
		case s.answer.Status >= http.StatusInternalServerError:
			mayHaveRun++
		}
	}
	unnamed, extra := int64(0), int64(0)
	for _, s := range fx.servers {
		if s.talker != nil {
			unnamed += s.talker.unnamedSent.Load()
			extra += s.talker.extraSent.Load()
		}
	}
	fx.promiseFigures = fmt.Sprintf("; %+v: requests that must not run twice: %d served, %d promised that they did not run, %d failed; servers sent %d rejections without a name and %d twice",
		fx.promiseFaults, served, promised, mayHaveRun, unnamed, extra)
}
