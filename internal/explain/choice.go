package explain

import "github.com/briarlink/briarlink/internal/logline"

// choice is what a story keeps of the logs. Its size is that of the story, whatever
// that of the logs.
type choice struct {
	window
	// version is that of the weights that the request counted on.
	version int64
	lines   []logline.Line
	// config and wanted were in force when the request came.
	config, wanted *logline.Line
	// newer is the first line that named newer weights before the request came.
	newer *logline.Line
}

// take keeps a line that belongs to the story, or says what was in force.
func (c *choice) take(text []byte) error {
	h, ok := logline.ParseHead(text)
	if !ok || h.At.After(c.to) {
		return nil
	}
	tells := c.tells(&h)
	if !tells && !c.inForce(&h) {
		return nil
	}
	l, ok := logline.Parse(text)
	if !ok {
		return nil
	}
	if tells {
		c.lines = append(c.lines, l)
	} else if c.here(&h) {
		c.stood(&l)
	}
	c.named(&l)
	return nil
}

// stood takes a line of the host on what was in force.
func (c *choice) stood(l *logline.Line) {
	if l.Message == configInForce {
		c.config = later(c.config, l)
		return
	}
	c.wanted = later(c.wanted, l)
}

// named takes a line of any host that names weights newer than those that the request
// counted on.
func (c *choice) named(l *logline.Line) {
	newer := l.Message == weightsWanted && int64(l.Number("version")) > c.version && l.At.Before(c.began)
	if newer && (c.newer == nil || l.At.Before(c.newer.At)) {
		c.newer = l
	}
}

// inOrder returns the lines in order of time. What was in force when the request came
// stands first.
func (c *choice) inOrder() []logline.Line {
	logline.Sort(c.lines)
	var out []logline.Line
	for _, l := range []*logline.Line{c.config, c.wanted} {
		if l != nil {
			out = append(out, *l)
		}
	}
	return append(out, c.lines...)
}

// later returns the later of two lines, of one moment the second.
func later(a, b *logline.Line) *logline.Line {
	if a == nil || !b.At.Before(a.At) {
		return b
	}
	return a
}
