// Package netdial makes the dialers of connections that are kept. An open
// connection may fall silent for good, without a reset, while new ones work: a
// read that waits on it would wait to its own end, up to half a minute.
package netdial

import (
	"net"
	"time"
)

const (
	// probeIdle is the silence after which the kernel probes a connection, and
	// probeInterval and probes when it gives up: some 3 s after the last byte, as
	// long as hosts may take to notice any other reset. A probe is a bare packet.
	probeIdle     = time.Second
	probeInterval = time.Second
	probes        = 2
)

// KeepAlive is how connections in both directions are probed.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probes}

// New returns a dialer that gives up after timeout and whose connections end when
// they have fallen silent.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive}
}
