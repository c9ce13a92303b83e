// Package netdial provides dialers for long-lived connections. An open connection may become
// permanently unresponsive, without a reset, while new ones work. Without keep-alive probes, a read
// on it would wait for its own timeout, up to half a minute.
package netdial

import (
	"net"
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
