package inbound

import (
	"net"
	"testing"
	"time"
)

// TestLeastRecentlyUsedConnectionIsClosed guards against silent connections that keep others away from a listener.
func TestLeastRecentlyUsedConnectionIsClosed(t *testing.T) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := LimitOthers(raw, 2, time.Second)
	t.Cleanup(func() { l.Close() })
	accept := func() (inside, outside net.Conn) {
		outside = dial(t, raw.Addr().String())
		inside, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return inside, outside
	}
	used, usedOutside := accept()
	_, silentOutside := accept()
	if _, err := usedOutside.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := used.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	accept()
	if _, err := silentOutside.Read(make([]byte, 1)); err == nil {
		t.Error("the silent connection is still open")
	}
	if _, err := used.Write([]byte("x")); err != nil {
		t.Errorf("the connection that was used is closed: %v", err)
	}
}
