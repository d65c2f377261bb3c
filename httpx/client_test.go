package httpx

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveOnce answers the first request on each connection, and passes the connection with the second one to
// second. It returns the server's address.
func serveOnce(t *testing.T, second func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(conn)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = conn.Write(AppendResponse(nil, 200, []byte("{}"), 0, false))
				second(conn)
			}()
		}
	}()
	return ln.Addr().String()
}

// A request whose connection ends after it was sent may be executed twice, so the response says so.
func TestRepeatedRequestIsMarked(t *testing.T) {
	addr := serveOnce(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_ = conn.Close()
	})
	c := NewClient(1<<16, 1, 1)
	for i, repeated := range []bool{false, true} {
		r, err := c.Do(t.Context(), addr, "POST", "/commands", []byte("{}"), 5*time.Second)
		if err != nil || r.Status != 200 || r.Repeated != repeated {
			t.Errorf("request %d: status %d, repeated %t, error %v; expected 200, %t", i, r.Status, r.Repeated, err, repeated)
		}
	}
}

// A connection that the server has closed while it was idle is not used, so no request is sent twice.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan bool, 2)
	addr := serveOnce(t, func(conn net.Conn) {
		_ = conn.Close()
		closed <- true
	})
	c := NewClient(1<<16, 1, 1)
	for i := range 2 {
		r, err := c.Do(t.Context(), addr, "POST", "/commands", []byte("{}"), 5*time.Second)
		if err != nil || r.Status != 200 || r.Repeated {
			t.Errorf("request %d: status %d, repeated %t, error %v; expected 200, false", i, r.Status, r.Repeated, err)
		}
		<-closed
		time.Sleep(20 * time.Millisecond) // the end of the connection reaches the client
	}
}
