// Package addr validates and splits IP:port addresses from settings and configuration.
package addr

import (
	"net"
	"net/netip"
)

// Valid reports whether s is an IP:port with a port above 0. Host names are not valid:
// processes connect to each other by IP address.
func Valid(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Port() != 0
}

// Host returns the IP of an IP:port address, or "" if it cannot be split.
func Host(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// OnHost returns the address with the given IP and the port of address, or "" if there is
// no IP or address cannot be split.
func OnHost(ip, address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil || ip == "" {
		return ""
	}
	return net.JoinHostPort(ip, port)
}
