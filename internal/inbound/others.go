package inbound

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// Others is a listener with a maximum number of open connections. Beyond it, the one on which nothing was
// received or sent for the longest time is closed.
type Others struct {
	net.Listener
	max          int
	writeTimeout time.Duration

	mu sync.Mutex
	// open has the least recently used connection in front.
	open *list.List
}

// LimitOthers returns a listener with at most max open connections. A write that its receiver blocks for writeTimeout fails.
func LimitOthers(l net.Listener, max int, writeTimeout time.Duration) *Others {
	return &Others{Listener: l, max: max, writeTimeout: writeTimeout, open: list.New()}
}

// Accept implements net.Listener.
func (l *Others) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &otherConn{Conn: accepted, listener: l}
	if least := l.add(conn); least != nil {
		// Its server closes it too.
		_ = least.Conn.Close()
	}
	return conn, nil
}

// add adds a connection, and returns the one that is to be closed for it, if any.
func (l *Others) add(c *otherConn) (least *otherConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open.Len() >= l.max {
		least = l.open.Remove(l.open.Front()).(*otherConn)
		least.element = nil
	}
	c.element = l.open.PushBack(c)
	return least
}

// otherConn is a connection of Others.
type otherConn struct {
	net.Conn
	listener *Others
	// element is the connection's place in listener.open, nil once it is closed. The listener's lock protects it.
	element *list.Element
}

// used makes the connection the most recently used one.
func (c *otherConn) used() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.element != nil {
		c.listener.open.MoveToBack(c.element)
	}
}

// Read implements net.Conn.
func (c *otherConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.used()
	}
	return n, err
}

// Write implements net.Conn.
func (c *otherConn) Write(data []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.listener.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	if n > 0 {
		c.used()
	}
	return n, err
}

// Close implements net.Conn.
func (c *otherConn) Close() error {
	c.listener.mu.Lock()
	if c.element != nil {
		c.listener.open.Remove(c.element)
		c.element = nil
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
