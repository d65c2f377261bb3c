package httpx

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Client is a pool of connections to other servers. Every call has a deadline.
type Client struct {
	Auth string // sent with each request as the Authorization header, if any

	maxBody, maxIdlePerHost, maxIdleTotal int
	dialer                                net.Dialer

	mu        sync.Mutex
	idle      map[string][]idleConn
	idleCount int // unused connections in all
}

type idleConn struct {
	net.Conn
	idleSince time.Time
}

// idleTimeout is how long an unused connection is kept.
const idleTimeout = 20 * time.Second

// NewClient returns a pool that accepts bodies up to maxBody and keeps up to
// maxIdlePerHost unused connections to each address and maxIdleTotal to all together.
func NewClient(maxBody, maxIdlePerHost, maxIdleTotal int) *Client {
	return &Client{maxBody: maxBody, maxIdlePerHost: maxIdlePerHost, maxIdleTotal: maxIdleTotal, idle: map[string][]idleConn{}}
}

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
		if time.Since(conn.idleSince) < idleTimeout {
			return conn.Conn
		}
		_ = conn.Close()
	}
	return nil
}

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

// Sweep closes connections that were unused for long.
func (c *Client) Sweep() {
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

// errStale says that a kept connection was closed by the other side before it
// answered anything.
var errStale = errors.New("kept connection was closed")

// Do sends a request and waits for its response. When a kept connection turns
// out to be closed before the first byte of an answer, a fresh one is tried
// once: every request of this program may safely arrive twice.
func (c *Client) Do(ctx context.Context, addr, method, target string, body []byte, timeout time.Duration) (Response, error) {
	deadline := time.Now().Add(timeout)
	if conn := c.getIdle(addr); conn != nil {
		r, err := c.exchange(conn, addr, method, target, body, deadline)
		if !errors.Is(err, errStale) {
			return r, err
		}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return Response{}, fmt.Errorf("connecting: %w", err)
	}
	return c.exchange(conn, addr, method, target, body, deadline)
}

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
	buf := make([]byte, 0, 4096)
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
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
