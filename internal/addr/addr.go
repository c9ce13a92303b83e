// Package addr checks the addresses that settings and configuration name.
package addr

import (
	"net"
	"net/netip"
)

// Valid reports whether s is an IP:port with a port above 0. Host names are not
// valid: processes reach each other by IP number.
func Valid(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Port() != 0
}

// Host returns the IP of an IP:port address, or "".
func Host(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// OnHost returns the address with the port of address on another host.
func OnHost(ip, address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil || ip == "" {
		return ""
	}
	return net.JoinHostPort(ip, port)
}
