package httpx

// This file holds the HTTP server.

import (
	"basaltwall/api"

	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/tidwall/evio"
)

// ConnID identifies a connection of the server.
type ConnID uint64

// Handler is called for each request on the server's event loop and must not block. listener is the index
// of the address on which the request arrived. The response is sent by Server.Answer, during the call or
// later.
type Handler func(id ConnID, listener int, r Request)

// serverConn is an open connection. The fields above mu are used only by the event loop.
type serverConn struct {
	id           ConnID
	evio         evio.Conn
	inbuf        []byte
	busy         bool // a request awaits its response; the next one stays in inbuf
	closing      bool // the connection is closed after the response
	continueSent bool // 100 Continue was sent for the current request
	refused      bool // the final response was sent; further input is discarded
	discarded    int  // bytes received after the refusal

	mu            sync.Mutex
	outbuf        []byte // set by Answer, sent by the event loop
	responseReady bool   // outbuf holds a response to send
	lingerExpired bool   // lingerTime has passed since the refusal
}

// Limits of the time and input after which a refused connection is closed. Closing it at once, while the
// client still sends, would reset the connection and lose the response.
const (
	lingerTime  = 2 * time.Second
	lingerBytes = 1 << 20
)

// Server is an HTTP server on one event loop of evio. Serve runs the loop; Answer sends responses and may
// be called from any goroutine.
type Server struct {
	maxBody  []int // bytes, by listener
	maxConns int
	handler  Handler
	ctx      context.Context // passed to Serve; evio's callbacks have no context parameter

	mu       sync.Mutex // guards the fields below
	conns    map[ConnID]*serverConn
	lastID   ConnID
	refusals refusalCounter
}

// refusalCounter counts refused connections and limits their logging to once a second. There may be
// thousands of refusals when the clients of other controllers fail over to this one.
type refusalCounter struct {
	count    int
	loggedAt time.Time
}

// record counts a refusal. At most once a second it returns shouldLog and the number of refusals since the
// last log message.
func (r *refusalCounter) record(now time.Time) (count int, shouldLog bool) {
	r.count++
	if now.Sub(r.loggedAt) < time.Second {
		return 0, false
	}
	count, r.count, r.loggedAt = r.count, 0, now
	return count, true
}

// NewServer returns a server that passes its requests to handler. maxBody holds the maximum size of request
// bodies, in bytes, for each listening address; maxConns limits the open connections.
func NewServer(maxBody []int, maxConns int, handler Handler) *Server {
	return &Server{maxBody: maxBody, maxConns: maxConns, handler: handler, conns: map[ConnID]*serverConn{}}
}

// Serve listens on the addresses and runs the event loop. After the context is cancelled it returns at the
// next event of a connection. It returns nil if evio ends the loop because accepting a connection failed;
// the caller may then call Serve again.
func (s *Server) Serve(ctx context.Context, addrs ...string) error {
	s.ctx = ctx
	var ev evio.Events
	ev.NumLoops = 1
	ev.Opened = s.opened
	ev.Closed = s.closed
	ev.Data = s.data
	urls := make([]string, len(addrs))
	for i, a := range addrs {
		urls[i] = "tcp://" + a
	}
	if err := evio.Serve(ev, urls...); err != nil {
		return fmt.Errorf("serving HTTP: %w", err)
	}
	return nil
}

// opened registers a new connection, or closes it if maxConns connections are open.
func (s *Server) opened(c evio.Conn) (out []byte, opts evio.Options, action evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConns {
		if count, shouldLog := s.refusals.record(time.Now()); shouldLog {
			slog.Error("connection limit reached; refusing new connections", "open", len(s.conns), "refused", count)
		}
		return nil, opts, evio.Close
	}
	s.lastID++
	sc := &serverConn{id: s.lastID, evio: c}
	s.conns[sc.id] = sc
	c.SetContext(sc)
	return nil, opts, evio.None
}

// closed removes a closed connection.
func (s *Server) closed(c evio.Conn, _ error) evio.Action {
	if sc, ok := c.Context().(*serverConn); ok {
		s.mu.Lock()
		delete(s.conns, sc.id)
		s.mu.Unlock()
	}
	if s.ctx.Err() != nil {
		return evio.Shutdown
	}
	return evio.None
}

// data handles received bytes. It is also called without bytes after a Wake, which signals that a response
// is ready or that the linger time has expired.
func (s *Server) data(c evio.Conn, in []byte) (out []byte, action evio.Action) {
	if s.ctx.Err() != nil {
		return nil, evio.Shutdown
	}
	sc, ok := c.Context().(*serverConn)
	if !ok {
		return nil, evio.Close
	}
	sc.mu.Lock()
	if sc.refused {
		sc.discarded += len(in)
		over := sc.lingerExpired || sc.discarded > lingerBytes
		sc.mu.Unlock()
		if over {
			return nil, evio.Close
		}
		return nil, evio.None
	}
	if sc.responseReady {
		return sc.sendResponse(c, in)
	}
	sc.mu.Unlock()
	sc.inbuf = append(sc.inbuf, in...)
	if sc.busy {
		// Pipelined requests are not processed ahead; a client that exceeds the buffer is disconnected.
		if len(sc.inbuf) > maxHead+s.maxBody[c.AddrIndex()] {
			return nil, evio.Close
		}
		return nil, evio.None
	}
	if len(sc.inbuf) == 0 {
		sc.inbuf = nil
		return nil, evio.None
	}
	return s.nextRequest(c, sc)
}

// sendResponse returns the response in outbuf and appends received bytes to inbuf. It must be called with
// mu held, and releases mu.
func (sc *serverConn) sendResponse(c evio.Conn, in []byte) (out []byte, action evio.Action) {
	out, sc.outbuf, sc.responseReady = sc.outbuf, nil, false
	sc.busy, sc.continueSent = false, false
	closing := sc.closing
	sc.mu.Unlock()
	if closing {
		return out, evio.Close
	}
	// evio discards unwritten output if another call returns output, so a buffered request is parsed in
	// the next iteration of the loop.
	if sc.inbuf = append(sc.inbuf, in...); len(sc.inbuf) > 0 {
		c.Wake()
	} else {
		sc.inbuf = nil
	}
	return out, evio.None
}

// nextRequest parses the input buffer and passes a complete request to the handler.
func (s *Server) nextRequest(c evio.Conn, sc *serverConn) (out []byte, action evio.Action) {
	r, n, err := ParseRequest(sc.inbuf, s.maxBody[c.AddrIndex()])
	if err != nil {
		status := api.StatusBadRequest
		if errors.Is(err, ErrTooLarge) {
			status = api.StatusRequestEntityTooLarge
		}
		sc.refused, sc.inbuf = true, nil
		sc.startLinger()
		return AppendResponse(out, status, []byte(`{"error":"`+err.Error()+`"}`), 0, true), evio.None
	}
	if n == 0 {
		if r.Expect && !sc.continueSent {
			sc.continueSent = true
			out = append(out, "HTTP/1.1 100 Continue\r\n\r\n"...)
		}
		return out, evio.None
	}
	sc.inbuf = append([]byte(nil), sc.inbuf[n:]...)
	sc.busy, sc.closing = true, r.Close
	if remote, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		r.RemoteAddr = remote.AddrPort().Addr()
	}
	s.handler(sc.id, c.AddrIndex(), r)
	return out, evio.None
}

// startLinger starts a timer that closes the connection after lingerTime.
func (sc *serverConn) startLinger() {
	time.AfterFunc(lingerTime, func() {
		sc.mu.Lock()
		sc.lingerExpired = true
		sc.mu.Unlock()
		sc.evio.Wake()
	})
}

// Answer sends the response to the current request of a connection. The response is dropped if the
// connection is closed. Answer may be called from any goroutine.
func (s *Server) Answer(id ConnID, status int, body []byte, retryAfter int) {
	s.mu.Lock()
	sc := s.conns[id]
	s.mu.Unlock()
	if sc == nil {
		return
	}
	sc.mu.Lock()
	sc.outbuf = AppendResponse(nil, status, body, retryAfter, sc.closing)
	sc.responseReady = true
	sc.mu.Unlock()
	sc.evio.Wake()
}
