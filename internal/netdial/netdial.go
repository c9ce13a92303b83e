// Package netdial provides dialers for long-lived connections. An open connection may become
// permanently unresponsive, without a reset, while new ones work. Without keep-alive probes, a read
// on it would wait for its own timeout, up to half a minute.
package netdial

import (
	"net"
	"syscall"
	"time"
)

const (
	// probeIdle is how long a connection is idle before the kernel probes it.
	// probeInterval and probeCount determine when it gives up: about 3 s after the last byte,
	// the time within which hosts must notice a failed connection. A probe is a packet
	// without data.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// KeepAlive configures the keep-alive probes of outgoing and accepted connections.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// New returns a dialer that gives up after timeout. Its connections fail once they no longer
// answer keep-alive probes.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive}
}

// LimitBuffers fixes the sizes in bytes of the buffers that the system keeps for each of d's connections,
// which would otherwise grow to some megabytes. They are set before a connection is opened: a buffer that
// shrinks later drops what the other side was already allowed to send, which stalls it for 200 ms.
func LimitBuffers(d *net.Dialer, bytes int) {
	d.Control = func(_, _ string, c syscall.RawConn) error {
		setBuffers(c, bytes)
		return nil
	}
}

// LimitListener does the same for the connections that a listener accepts.
func LimitListener(l syscall.Conn, bytes int) {
	if c, err := l.SyscallConn(); err == nil {
		setBuffers(c, bytes)
	}
}

// setBuffers sets the sizes, half of which is given because the system doubles it for its own bookkeeping.
// Errors are ignored: a socket that is closed shows that at its next use.
func setBuffers(c syscall.RawConn, bytes int) {
	_ = c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes/2)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bytes/2)
	})
}
