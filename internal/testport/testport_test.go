package testport

import (
	"net"
	"testing"
)

// A server can listen at a reserved address, and no connection is made from it.
// CI once failed because a port that was found free and let go had meanwhile
// become the near end of another test's connection.
func TestReservedPort(t *testing.T) {
	addr, release, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	near, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	d := net.Dialer{LocalAddr: near}
	if c, err := d.Dial("tcp", far.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("a connection took the reserved port")
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatalf("the server can't have its port: %v", err)
	}
	_ = l.Close()
}
