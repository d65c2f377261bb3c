package httpx

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltwall/internal/testport"
)

// startServer starts a server that echoes the method, path and body of each request from another goroutine.
func startServer(t *testing.T, maxConns int) string {
	t.Helper()
	addr, release, err := testport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	var s *Server
	s = NewServer([]int{1000}, maxConns, func(id ConnID, _ int, r Request) {
		go s.Answer(id, 200, []byte(r.Method+" "+r.Path+" "+string(r.Body)), 0)
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		if err := s.Serve(ctx, addr); err != nil {
			t.Errorf("server: %v", err)
		}
	}()
	for range 200 {
		if c, err := net.Dial("tcp", addr); err == nil {
			_ = c.Close()
			return addr
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("server does not accept connections")
	return ""
}

func TestConcurrentRequests(t *testing.T) {
	addr := startServer(t, 100)
	c := NewClient(10_000, 4, 100)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 50 {
				body := fmt.Sprintf("%d-%d", g, i)
				r, err := c.Do(t.Context(), addr, "POST", "/x", []byte(body), 10*time.Second)
				if err != nil || r.Status != 200 || string(r.Body) != "POST /x "+body {
					t.Errorf("%s: %v %d %q", body, err, r.Status, r.Body)
				}
			}
		})
	}
	wg.Wait()
}

// exchangeRaw sends pieces of text with a short delay between them, and returns the bytes received until
// the server closes the connection.
func exchangeRaw(t *testing.T, addr string, pieces ...string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for _, p := range pieces {
		if _, err := conn.Write([]byte(p)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	var got strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		got.Write(buf[:n])
		if err != nil {
			return got.String()
		}
	}
}

func TestServerRawRequests(t *testing.T) {
	addr := startServer(t, 100)
	const closing = "POST /b HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
	cases := []struct {
		name   string
		pieces []string
		want   []string
	}{
		{"request in several pieces", []string{"POST /a HT", "TP/1.1\r\nContent-Le", "ngth: 4\r\n\r\nab", "cd", closing}, []string{"POST /a abcd", "POST /b hi"}},
		{"two requests in one piece", []string{"GET /a HTTP/1.1\r\n\r\n" + closing}, []string{"GET /a", "POST /b hi"}},
		{"malformed", []string{"nonsense\r\n\r\n"}, []string{"HTTP/1.1 400"}},
		{"body too large", []string{"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"}, []string{"HTTP/1.1 413"}},
		{"body too large and client still sending", []string{"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", strings.Repeat("x", 2500), strings.Repeat("x", 2500)}, []string{"HTTP/1.1 413"}},
		{"Expect: 100-continue", []string{"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n", "x", closing}, []string{"100 Continue", "POST /a x"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := exchangeRaw(t, addr, c.pieces...)
			for _, part := range c.want {
				if !strings.Contains(got, part) {
					t.Errorf("%q lacks %q", got, part)
				}
			}
		})
	}
}

// TestRefusalCounter checks that refused connections are logged at most once a second, with their count.
func TestRefusalCounter(t *testing.T) {
	var r refusalCounter
	at := time.Unix(1000, 0)
	if count, shouldLog := r.record(at); !shouldLog || count != 1 {
		t.Errorf("first refusal: count %d, logged %v", count, shouldLog)
	}
	for i := range 500 {
		if _, shouldLog := r.record(at.Add(time.Duration(i) * time.Millisecond)); shouldLog {
			t.Fatalf("logged again after %d ms", i)
		}
	}
	if count, shouldLog := r.record(at.Add(time.Second)); !shouldLog || count != 501 {
		t.Errorf("refusal after a second: count %d, logged %v", count, shouldLog)
	}
}
