// Package capacity computes the tables of docs/CAPACITY.md from measured slopes
// and the target's sizes.
package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// The target's sizes, from the users' letter.
const (
	nodes          = 340
	replicas       = 5300
	requests       = 5800.0
	pieces         = 190e6
	events         = 800e3
	organisations  = 1500
	models         = 25
	regions        = 4
	changesADay    = 17000.0
	restartsADay   = 2290.0
	budgetCore     = 1.3
	budgetMB       = 128.0
	budgetKB       = 12.0
	secondsADay    = 86400.0
	outcomesKept   = 16384
	promptPieces   = 40
	claimShare     = 0.01
	claimHorizon   = 660.0
	heartbeatsAway = 16.0
	pollsASecond   = 5.0
	fanOut         = 8.0
	// workBytes is a message of one work item with its framing: an estimate.
	workBytes = 60.0
	// readsASecond is a host's long polls of three streams of the log.
	readsASecond = 3.0
)

//go:embed slopes.json
var slopesFile []byte

// Slope is one measured slope.
type Slope struct {
	Value   float64 `json:"value"`
	Spread  string  `json:"spread"`
	Command string  `json:"command"`
}

// load returns the slopes by name.
func load() (map[string]Slope, error) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(slopesFile, &raw); err != nil {
		return nil, err
	}
	slopes := map[string]Slope{}
	for name, data := range raw {
		if name == "comment" {
			continue
		}
		var s Slope
		if err := json.Unmarshal(data, &s); err != nil {
			return nil, err
		}
		slopes[name] = s
	}
	return slopes, nil
}

// row is one mechanism on one node, each second.
type row struct {
	name      string
	state     string
	messages  float64
	bytes     float64
	core      float64
	memory    float64
	mechanism string
}

// nanos turns nanoseconds a second into per cent of a core.
func nanos(ns float64) float64 { return ns / 1e7 }

// rows computes every mechanism as built today, and what would carry it.
func rows(s map[string]Slope) []row {
	v := func(name string) float64 { return s[name].Value }
	perNode := requests / nodes
	objects := float64(organisations + replicas + models)
	held := objects + outcomesKept
	claims := requests * claimShare
	regionHosts := float64(nodes / regions)
	polls := replicas * pollsASecond
	home := float64(replicas) / nodes
	return []row{
		{
			"event intake, as built: every host polls every replica", "sequence a replica", polls, events * v("event_bytes"),
			nanos(events*v("event_ns") + polls*v("poll_ns")), 0, "polls with events; an HTTP call's own cost is not in the slope",
		},
		{
			"event intake, home hosts only: a replica is polled by its home and a shadow", "sequence a replica", 2 * home * pollsASecond, 2 * events / nodes * v("event_bytes"),
			nanos(2*events/nodes*v("event_ns") + 2*home*pollsASecond*v("poll_ns")), 0, "rendezvous of replicas over hosts: not built, not measured",
		},
		{
			"event intake, home hosts, level boundaries only (3 of 40 pieces)", "sequence a replica", 2 * home * pollsASecond, 2 * events / nodes * 3 / promptPieces * v("event_bytes"),
			nanos(2*events/nodes*3/promptPieces*v("event_ns") + 2*home*pollsASecond*v("poll_ns")), 0, "needs engines or a filter that send boundaries: not built, not measured",
		},
		{"prefix index, as built: all pieces on every host", "190 M pieces", 0, 0, 0, pieces * v("piece_bytes") / 1e6, "bounded index (max_pieces) forgets the rest"},
		{"prefix index, home and shadow", "1.1 M pieces", 0, 0, 0, 2 * pieces / nodes * v("piece_bytes") / 1e6, "follows the home hosts above: not built, memory slope measured"},
		{
			"decision: chain, lookup, snapshot, pick", "212 replicas a model", perNode, 0,
			nanos(perNode * (promptPieces*v("chain_ns") + v("lookup_ns") + replicas/models*(v("snapshot_ns")+v("decide_ns")))), 0, "pure function on a snapshot of the model's replicas",
		},
		{"work told to peers", "none", perNode * fanOut, perNode * fanOut * workBytes, 0, 0, "10 ms batches to fan_out peers; bytes estimated; reaches 8 of 339 hosts"},
		{
			"heartbeats, as built: whole table, 8 peers, every 500 ms", "340 entries", 2 * heartbeatsAway, 2 * heartbeatsAway * nodes * v("host_entry_bytes"),
			nanos(2 * heartbeatsAway * nodes * v("host_entry_ns")), 0, "gossip of the whole table",
		},
		{
			"heartbeats, by region, 1 peer, every 2 s", "85 entries", 1, regionHosts * v("host_entry_bytes"),
			nanos(regionHosts * v("host_entry_ns")), 0, "settings of today; a scope by region is not built, detection time not measured",
		},
		{
			"demand in heartbeats, as built", "1,500 organisations", 0, heartbeatsAway * organisations * v("demand_bytes"),
			nanos(heartbeatsAway * organisations * v("demand_ns")), 0, "every active organisation in every heartbeat",
		},
		{
			"demand, an organisation on 8 home hosts", "35 organisations", 0, heartbeatsAway * organisations * 8 / nodes * v("demand_bytes"),
			nanos(heartbeatsAway * organisations * 8 / nodes * v("demand_ns")), 0, "home hosts by organisation: not built, not measured",
		},
		{"limits", "1,500 buckets", perNode, 0, nanos(perNode * v("admit_ns")), 0, "token buckets, share by demand"},
		{
			"configuration tail", "23,209 objects and outcomes", changesADay / secondsADay, changesADay / secondsADay * v("checkpoint_bytes"),
			nanos(changesADay / secondsADay * held * v("apply_ns")), held * v("checkpoint_bytes") / 1e6, "fold by every host; the state is copied at each change; memory as encoded, in memory not measured",
		},
		{
			"checkpoints", "the same", 0, held * v("checkpoint_bytes") / 450 / nodes,
			nanos(held * v("checkpoint_ns") / 450 / nodes), 0, "one of 340 hosts writes every 450 s (retention 1 h / 8)",
		},
		{
			"claims, 1 % of requests not repeatable (assumed)", "11 min of claims", claims, 2 * claims * v("claim_bytes"),
			nanos(2 * claims * v("claim_ns")), claims * claimHorizon * v("claim_memory") / 1e6, "every host folds every claim and outcome",
		},
		{"leases", "1 duty", 0.4, 0.4 * 60, 0, 0, "one record every 2.5 s; bytes estimated"},
		{
			"restart transfers given to others", "state and 200,000 pieces", restartsADay / secondsADay / nodes * 2, restartsADay / secondsADay / nodes * (held*v("checkpoint_bytes") + 2*200e3*8),
			nanos(restartsADay / secondsADay / nodes * held * v("decode_ns")), 0, "two transfers at once from a host",
		},
	}
}

func (r row) fits() string {
	worst := max(r.bytes/1e3/budgetKB, r.core/budgetCore, r.memory/budgetMB)
	if worst <= 1 {
		return "yes"
	}
	return fmt.Sprintf("no, by %.1f times", worst)
}

// Tables returns the computed part of the page.
func Tables() (string, error) {
	slopes, err := load()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Budget a node: %.1f %% of a core, %.0f MB, %.0f KB/s.\n\n", budgetCore, budgetMB, budgetKB)
	b.WriteString("| mechanism on one node | state | messages/s | KB/s | core % | MB | within the budget | carried by |\n|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows(slopes) {
		fmt.Fprintf(&b, "| %s | %s | %.1f | %.2f | %.4f | %.1f | %s | %s |\n", r.name, r.state, r.messages, r.bytes/1e3, r.core, r.memory, r.fits(), r.mechanism)
	}
	appendTable(&b, slopes)
	slopeTable(&b, slopes)
	return b.String(), nil
}

// appendTable shows what all hosts together ask of the log.
func appendTable(b *strings.Builder, s map[string]Slope) {
	held := float64(organisations+replicas+models) + outcomesKept
	chunks := held * s["checkpoint_bytes"].Value / (128 << 10) / 450
	group := float64(nodes) / 200
	b.WriteString("\n| asked of the log by all hosts | a second |\n|---|---|\n")
	fmt.Fprintf(b, "| configuration appends | %.2f |\n", changesADay/secondsADay)
	fmt.Fprintf(b, "| checkpoint appends | %.2f |\n", chunks)
	fmt.Fprintf(b, "| claim appends (bounded; claims wait up to %.1f s to be grouped) | 200 |\n", group)
	fmt.Fprintf(b, "| lease appends | %.1f |\n", 0.4)
	fmt.Fprintf(b, "| reads (long polls of three streams by 340 hosts) | %.0f |\n", readsASecond*nodes)
}

func slopeTable(b *strings.Builder, slopes map[string]Slope) {
	var names []string
	for name := range slopes {
		names = append(names, name)
	}
	sort.Strings(names)
	b.WriteString("\n| slope | value used | spread | command |\n|---|---|---|---|\n")
	for _, name := range names {
		s := slopes[name]
		fmt.Fprintf(b, "| %s | %g | %s | `%s` |\n", name, s.Value, s.Spread, s.Command)
	}
}
