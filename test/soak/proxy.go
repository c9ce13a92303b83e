package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with its connections.
type mode int

const (
	// pass forwards both ways.
	pass mode = iota
	// silence holds every byte back, in open and new connections.
	silence
	// oneWay holds back what the server sends.
	oneWay
	// delay forwards each piece late.
	delay
	// refuse resets new connections, and the open ones.
	refuse
	// hush silences the open connections for good, and passes new ones.
	hush
)

func (m mode) String() string {
	return [...]string{"pass", "silence", "one-way", "delay", "refuse", "hush"}[m]
}

const (
	// delayTime is how late a delayed piece is: most of a call's time-out.
	delayTime = 300 * time.Millisecond
	// holdPoll is how often held connections look whether they may go on.
	holdPoll = 20 * time.Millisecond
)

// proxy forwards TCP connections to a target on loopback, and harms them.
type proxy struct {
	listener net.Listener
	// accepting is closed once the listener's last connection was accepted.
	accepting chan struct{}
	target    string

	mu    sync.Mutex
	mode  mode
	epoch int
	conns map[*net.TCPConn]bool
}

// link is one forwarded connection.
type link struct {
	p     *proxy
	epoch int
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, conns: map[*net.TCPConn]bool{}}
	p.serve(listener)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. Connections that are silenced for good belong to an
// older epoch.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	switch m {
	case hush:
		p.epoch++
		p.mode = pass
	case refuse:
		p.resetAll()
	}
}

func (p *proxy) serve(listener net.Listener) {
	p.listener, p.accepting = listener, make(chan struct{})
	go p.accept(listener, p.accepting)
}

// leave closes the address: connections to it are refused, open ones reset. Until the
// listener accepts no more, it holds the address.
func (p *proxy) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	<-p.accepting
	p.resetAll()
}

// back opens the address again.
func (p *proxy) back() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener, err := net.Listen("tcp4", p.address())
	if err != nil {
		return err
	}
	p.serve(listener)
	return nil
}

func (p *proxy) resetAll() {
	for c := range p.conns {
		// A reset, not a clean end; a connection that is closed already is no matter.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) state(l *link) (m mode, silenced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, l.epoch != p.epoch
}

func (p *proxy) accept(listener net.Listener, over chan<- struct{}) {
	defer close(over)
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c.(*net.TCPConn))
	}
}

func (p *proxy) forward(client *net.TCPConn) {
	p.mu.Lock()
	l := &link{p, p.epoch}
	m := p.mode
	p.mu.Unlock()
	if m == refuse {
		_ = client.SetLinger(0)
		client.Close()
		return
	}
	raw, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		client.Close()
		return
	}
	server := raw.(*net.TCPConn)
	p.keep(client, true)
	p.keep(server, true)
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(server, client, false) })
	wg.Go(func() { l.copy(client, server, true) })
	wg.Wait()
	p.keep(client, false)
	p.keep(server, false)
}

func (p *proxy) keep(c *net.TCPConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
	c.Close()
}

// copy forwards until one side ends, and passes the end on: a reset as a reset.
func (l *link) copy(to, from *net.TCPConn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && l.hold(back) {
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			_ = to.SetLinger(0)
			to.Close()
			return
		}
		if l.hold(back) {
			_ = to.CloseWrite()
		}
		return
	}
}

// hold waits while bytes may not pass; it returns false if they never will.
func (l *link) hold(back bool) bool {
	for {
		m, silenced := l.p.state(l)
		switch {
		case silenced:
			return false
		case m == silence, m == oneWay && back:
			time.Sleep(holdPoll)
		case m == delay:
			time.Sleep(delayTime)
			return true
		default:
			return true
		}
	}
}
