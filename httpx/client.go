package httpx

// This file holds the HTTP client.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Client sends requests and pools idle connections. Every request has a timeout.
type Client struct {
	Auth string // value of the Authorization header, if any; must be set before the first request

	maxBody, maxIdlePerHost, maxIdleTotal int
	dialer                                net.Dialer

	mu        sync.Mutex            // guards the fields below
	idle      map[string][]idleConn // by address; the most recently used connection is last
	idleCount int                   // connections to all addresses
}

type idleConn struct {
	net.Conn
	idleSince time.Time
}

// idleTimeout is the maximum idle time of a pooled connection.
const idleTimeout = 20 * time.Second

// initialBufferSize is the initial size of a response buffer, in bytes; the buffer doubles when it is full.
const initialBufferSize = 4096

// NewClient returns a client that accepts response bodies of up to maxBody bytes and pools up to
// maxIdlePerHost idle connections per address and maxIdleTotal in total.
func NewClient(maxBody, maxIdlePerHost, maxIdleTotal int) *Client {
	return &Client{maxBody: maxBody, maxIdlePerHost: maxIdlePerHost, maxIdleTotal: maxIdleTotal, idle: map[string][]idleConn{}}
}

// getIdle removes an idle connection to an address from the pool and returns it, or nil if there is none.
func (c *Client) getIdle(addr string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conns := c.idle[addr]; len(conns) > 0; conns = c.idle[addr] {
		conn := conns[len(conns)-1]
		if len(conns) == 1 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = conns[:len(conns)-1]
		}
		c.idleCount--
		if time.Since(conn.idleSince) < idleTimeout && isOpen(conn.Conn) {
			return conn.Conn
		}
		_ = conn.Close()
	}
	return nil
}

// isOpen reports whether an idle connection can still be used: it has not been closed by the server, and
// there is nothing to read. A request that is sent on a closed connection would have to be repeated.
func isOpen(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// putIdle returns a connection to the pool, or closes it if the pool is full.
func (c *Client) putIdle(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.maxIdlePerHost || c.idleCount >= c.maxIdleTotal {
		_ = conn.Close()
		return
	}
	c.idleCount++
	c.idle[addr] = append(c.idle[addr], idleConn{conn, time.Now()})
}

// CloseExpired closes the connections whose idle time exceeds the idle timeout. The caller runs it periodically.
func (c *Client) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if time.Since(conn.idleSince) < idleTimeout {
				kept = append(kept, conn)
			} else {
				c.idleCount--
				_ = conn.Close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
	}
}

// errStale reports that the server closed an idle connection before it sent any byte of a response.
var errStale = errors.New("server closed the idle connection")

// Do sends a request and waits for its response until the timeout. If an idle connection ends before the
// first byte of the response, Do sends the request again on a new connection and marks the response as
// Repeated: the network may have delayed the first copy, which then arrives after the response. The
// context applies only to connecting.
func (c *Client) Do(ctx context.Context, addr, method, target string, body []byte, timeout time.Duration) (Response, error) {
	deadline := time.Now().Add(timeout)
	repeated := false
	if conn := c.getIdle(addr); conn != nil {
		r, err := c.exchange(conn, addr, method, target, body, deadline)
		if !errors.Is(err, errStale) {
			return r, err
		}
		repeated = true
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return Response{}, fmt.Errorf("connecting: %w", err)
	}
	r, err := c.exchange(conn, addr, method, target, body, deadline)
	r.Repeated = repeated
	return r, err
}

// exchange sends a request on a connection and reads the response. It closes the connection or returns
// it to the pool.
func (c *Client) exchange(conn net.Conn, addr, method, target string, body []byte, deadline time.Time) (Response, error) {
	fail := func(err error) (Response, error) {
		_ = conn.Close()
		return Response{}, fmt.Errorf("%s %s: %w", method, target, err)
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return fail(err)
	}
	if _, err := conn.Write(AppendRequest(nil, method, addr, target, c.Auth, body)); err != nil {
		return fail(errors.Join(errStale, err))
	}
	buf := make([]byte, 0, initialBufferSize)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, make([]byte, cap(buf))...)[:len(buf)]
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		r, used, parseErr := ParseResponse(buf, c.maxBody, err != nil && !isTimeout(err))
		switch {
		case parseErr != nil:
			return fail(parseErr)
		case used > 0:
			if r.Close || used < len(buf) || err != nil {
				_ = conn.Close()
			} else {
				c.putIdle(addr, conn)
			}
			return r, nil
		case err != nil && len(buf) == 0 && !isTimeout(err):
			return fail(errors.Join(errStale, err))
		case err != nil:
			return fail(err)
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
