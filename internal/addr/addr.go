// Package addr checks the addresses that settings and configuration name.
package addr

import "net/netip"

// Valid reports whether s is an IP:port with a port above 0. Host names are not
// valid: processes reach each other by IP number.
func Valid(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Port() != 0
}
