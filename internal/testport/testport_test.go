package testport

import (
	"net"
	"testing"
)

// TestReservedPort checks that a server can listen on a reserved port, and that
// no connection can use it as its local port.
func TestReservedPort(t *testing.T) {
	addr, release, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	remote, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = remote.Close() }()
	local, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	d := net.Dialer{LocalAddr: local}
	if c, err := d.Dial("tcp", remote.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("a connection could use the reserved port")
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatalf("server can't listen on the reserved port: %v", err)
	}
	_ = l.Close()
}
