package explain

import "github.com/briarlink/briarlink/internal/logline"

// collector collects the lines of an explanation. It keeps only these in memory, however
// large the logs are.
type collector struct {
	filter
	// version is the weights version by which the request was routed.
	version int64
	lines   []logline.Line
	// config and wanted are the lines on the configuration and the weights in force when
	// the request arrived.
	config, wanted *logline.Line
	// newer is the first line, before the request arrived, on newer wanted weights.
	newer *logline.Line
}

// add keeps a line that is relevant to the request, or that states what was in force when
// it arrived.
func (c *collector) add(text []byte) error {
	h, ok := logline.ParseHead(text)
	if !ok || h.At.After(c.to) {
		return nil
	}
	relevant := c.relevant(&h)
	if !relevant && !c.inForce(&h) {
		return nil
	}
	l, ok := logline.Parse(text)
	if !ok {
		return nil
	}
	if relevant {
		c.lines = append(c.lines, l)
	} else if c.fromServingHost(&h) {
		c.addInForce(&l)
	}
	c.addNewerWeights(&l)
	return nil
}

// addInForce records a line of the serving host on the configuration or weights in force.
func (c *collector) addInForce(l *logline.Line) {
	if l.Message == configInForce {
		c.config = later(c.config, l)
		return
	}
	c.wanted = later(c.wanted, l)
}

// addNewerWeights records the earliest line of any host on wanted weights newer than those
// by which the request was routed.
func (c *collector) addNewerWeights(l *logline.Line) {
	newer := l.Message == weightsWanted && int64(l.Number("version")) > c.version && l.At.Before(c.arrived)
	if newer && (c.newer == nil || l.At.Before(c.newer.At)) {
		c.newer = l
	}
}

// sorted returns the lines in order of time, preceded by those on what was in force when
// the request arrived.
func (c *collector) sorted() []logline.Line {
	logline.Sort(c.lines)
	var out []logline.Line
	for _, l := range []*logline.Line{c.config, c.wanted} {
		if l != nil {
			out = append(out, *l)
		}
	}
	return append(out, c.lines...)
}

// later returns the later of two lines, or b if their times are equal.
func later(a, b *logline.Line) *logline.Line {
	if a == nil || !b.At.Before(a.At) {
		return b
	}
	return a
}
