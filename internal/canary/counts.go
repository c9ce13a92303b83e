package canary

import (
	"math"
	"math/bits"
	"time"
)

const (
	// numThresholds is the number of thresholds for the ratio of an answer's time to the
	// expected time. The first threshold is 1, and each is thresholdFactor times the one
	// before.
	numThresholds   = 12
	thresholdFactor = 1.5
	// slowSteps and verySlowSteps are how many thresholds above the median of the old version
	// an answer of the new one counts as slow: at 3.4 and 7.6 times the median.
	slowSteps     = 3
	verySlowSteps = 5
	// minBadServers is how many servers, or all if there are fewer, must have given bad
	// answers before a version counts as bad: a single faulty server does not make it so.
	minBadServers = 3
)

// Answer is an answer of a server during a canary release of its service. Target is whether
// the server has the new version.
type Answer struct {
	Route  string
	Server string
	Target bool
	// Failed is whether the server itself failed, or the answer was lost with it.
	Failed bool
	// Ratio is the time to the start of the answer divided by the expected time, or 0 if not
	// known.
	Ratio float64
}

// Counts are the totals of the answers of one version on one route.
type Counts struct {
	Answers, Failed int64
	// Slow counts, for each threshold, the answers whose ratio exceeds it.
	Slow [numThresholds]int64
	// Servers has a bit set, selected by the server's hash, for each server that gave bad
	// answers.
	Servers uint64
}

// record adds an answer of the server with the given hash.
func (c *Counts) record(a Answer, hash uint64) {
	c.Answers++
	if a.Failed {
		c.Failed++
		c.Servers |= 1 << (hash % 64)
		return
	}
	threshold := 1.0
	for i := range c.Slow {
		if a.Ratio <= threshold {
			return
		}
		c.Slow[i]++
		if i >= slowSteps {
			c.Servers |= 1 << (hash % 64)
		}
		threshold *= thresholdFactor
	}
}

// add adds other if sign is 1, and subtracts it if sign is -1, except for Servers, which are
// only ever added.
func (c *Counts) add(other Counts, sign int64) {
	c.Answers += sign * other.Answers
	c.Failed += sign * other.Failed
	for i := range c.Slow {
		c.Slow[i] += sign * other.Slow[i]
	}
	c.Servers |= other.Servers
}

// routeHash is the hash of a route's name; 0 stands for all routes together.
type routeHash uint32

// routeCounts are the counts of both versions by route.
type routeCounts map[routeHash]*versionPair

// versionPair holds the counts of the old version and of the target, the new one.
type versionPair struct{ old, target Counts }

// get returns the counts of a route, which it adds if there are none yet.
func (s routeCounts) get(k routeHash) *versionPair {
	v := s[k]
	if v == nil {
		v = &versionPair{}
		s[k] = v
	}
	return v
}

func (s routeCounts) clone() routeCounts {
	out := routeCounts{}
	for k, v := range s {
		pair := *v
		out[k] = &pair
	}
	return out
}

// evidenceThreshold is the evidence, as the logarithm of a likelihood ratio, from which the new
// version counts as bad. It is meant to roll back fewer than one in 10,000 good versions,
// although each is compared over many windows and routes.
const evidenceThreshold = 13.0

// evidence returns how strongly the answers show that the new version is worse than the old
// one over the same time, as the logarithm of a likelihood ratio. servers is the number of
// servers with the new version.
func (v *versionPair) evidence(servers int) float64 {
	if bits.OnesCount64(v.target.Servers) < min(minBadServers, servers) {
		return 0
	}
	strongest := logLikelihoodRatio(v.target.Failed, v.target.Answers, v.old.Failed, v.old.Answers)
	median := v.old.medianThreshold()
	for _, steps := range []int{slowSteps, verySlowSteps} {
		if i := median + steps; i < numThresholds {
			strongest = max(strongest, logLikelihoodRatio(v.target.Slow[i], v.target.Answers, v.old.Slow[i], v.old.Answers))
		}
	}
	return strongest
}

// medianShare is the largest share of answers that may exceed the median's threshold. It is
// above a half so that the index does not flap when the median lies close to a threshold.
const medianShare = 0.55

// medianThreshold returns the index of the first threshold that about half of the answers do
// not exceed.
func (c *Counts) medianThreshold() int {
	for i, n := range c.Slow {
		if float64(n) <= medianShare*float64(c.Answers) {
			return i
		}
	}
	return numThresholds
}

const (
	// toleratedIncrease is the factor by which bad answers may be more frequent than with the
	// old version: new servers start without cached prompts, and may be of another kind.
	toleratedIncrease = 1.25
	// stdDevs is how many standard deviations are added to the old version's count of bad
	// answers.
	stdDevs = 3.0
)

// maxExpectedShare returns the largest share of bad answers that is still expected of the new
// version, from the answers of the old one.
func maxExpectedShare(bad, answers int64) float64 {
	high := float64(bad) + stdDevs*math.Sqrt(float64(bad)+1) + 1
	return min(0.95, toleratedIncrease*high/float64(answers+1))
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of a larger share of bad
// answers against the expected one. The ratio is the mean over several larger shares, so that
// it is valid whenever it is evaluated.
func logLikelihoodRatio(bad, answers, oldBad, oldAnswers int64) float64 {
	if answers <= 0 || bad <= 0 {
		return 0
	}
	q := maxExpectedShare(oldBad, oldAnswers)
	if float64(bad) <= q*float64(answers) {
		return 0
	}
	maxLog, sum := math.Inf(-1), 0.0
	var logs [5]float64
	for i, share := range [...]float64{0.05, 0.12, 0.25, 0.5, 0.85} {
		p := q + (1-q)*share
		logs[i] = float64(bad)*math.Log(p/q) + float64(answers-bad)*math.Log((1-p)/(1-q))
		maxLog = max(maxLog, logs[i])
	}
	for _, l := range logs {
		sum += math.Exp(l - maxLog)
	}
	return maxLog + math.Log(sum/float64(len(logs)))
}

const (
	// windowStep is the shortest time between the starts of the windows over which versions
	// are compared, and maxWindows limits their number. There are several windows because a
	// version may turn bad only later.
	windowStep = time.Second
	maxWindows = 32
)

// history holds earlier counts, each of which starts a window.
type history struct {
	snapshots []routeCounts
	lastTaken time.Time
}

// record takes a snapshot of the counts if windowStep has passed since the last one. If there
// are then too many, it drops every other one.
func (h *history) record(s routeCounts, now time.Time) {
	if len(h.snapshots) > 0 && now.Sub(h.lastTaken) < windowStep {
		return
	}
	h.lastTaken = now
	h.snapshots = append(h.snapshots, s.clone())
	if len(h.snapshots) <= maxWindows {
		return
	}
	kept := h.snapshots[:0]
	for i, s := range h.snapshots {
		if i%2 == 0 {
			kept = append(kept, s)
		}
	}
	h.snapshots = kept
}

// strongestEvidence returns the strongest evidence over all windows and routes, and its route.
func (h *history) strongestEvidence(s routeCounts, servers int) (float64, routeHash) {
	strongest, route := 0.0, routeHash(0)
	for k, v := range s {
		windows := []versionPair{*v}
		for _, before := range h.snapshots {
			if b := before[k]; b != nil {
				w := *v
				w.old.add(b.old, -1)
				w.target.add(b.target, -1)
				windows = append(windows, w)
			}
		}
		for i := range windows {
			if e := windows[i].evidence(servers); e > strongest {
				strongest, route = e, k
			}
		}
	}
	return strongest, route
}
