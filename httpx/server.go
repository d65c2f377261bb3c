package httpx

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/tidwall/evio"
)

// ConnID names a connection of the server; an answer to a connection that has
// gone meanwhile is dropped.
type ConnID uint64

// Handler receives each request, on the server's loop; listener is the index
// of the address it came in by. It must not block.
type Handler func(id ConnID, listener int, r Request)

type serverConn struct {
	id           ConnID
	evio         evio.Conn
	inbuf        []byte
	busy         bool // a request is being worked on; its successor waits in in
	closing      bool // close after the answer
	continueSent bool // 100 Continue was sent for the current request
	refused      bool // answered for good; what still comes is thrown away
	discarded    int

	mu            sync.Mutex
	outbuf        []byte // written by Answer, taken by the loop
	responseReady bool   // the answer in out is complete
	lingerExpired bool   // refused long enough ago to be closed
}

// A connection whose request was refused unread stays open for a while: to close
// it on a client that still sends would take the answer away from it.
const (
	lingerTime  = 2 * time.Second
	lingerBytes = 1 << 20
)

// Server is an HTTP server on evio with deferred answers.
type Server struct {
	maxBody  []int // by listener
	maxConns int
	handler  Handler
	ctx      context.Context

	mu       sync.Mutex
	conns    map[ConnID]*serverConn
	lastID   ConnID
	refusals refusalCounter
}

// refusalCounter counts refused connections, so that they are logged once a second: they come by the
// thousand when all clients of others try this one.
type refusalCounter struct {
	count    int
	loggedAt time.Time
}

// record counts one more. Once a second it says that they are to be logged, and how many there were
// since the last time.
func (r *refusalCounter) record(now time.Time) (count int, shouldLog bool) {
	r.count++
	if now.Sub(r.loggedAt) < time.Second {
		return 0, false
	}
	count, r.count, r.loggedAt = r.count, 0, now
	return count, true
}

// NewServer returns a server that gives its requests to handle; maxBody bounds
// them, for each of the addresses that it will listen on.
func NewServer(maxBody []int, maxConns int, handler Handler) *Server {
	return &Server{maxBody: maxBody, maxConns: maxConns, handler: handler, conns: map[ConnID]*serverConn{}}
}

// Serve listens on the addresses until the context ends or listening fails.
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

func (s *Server) opened(c evio.Conn) (out []byte, opts evio.Options, action evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConns {
		if count, shouldLog := s.refusals.record(time.Now()); shouldLog {
			slog.Error("connections refused: too many", "open", len(s.conns), "refused", count)
		}
		return nil, opts, evio.Close
	}
	s.lastID++
	sc := &serverConn{id: s.lastID, evio: c}
	s.conns[sc.id] = sc
	c.SetContext(sc)
	return nil, opts, evio.None
}

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

// data is called with new bytes, and with none after a Wake.
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
		// Requests are never pipelined; a client that floods is cut off.
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

// sendResponse hands out the response that is ready and keeps what has come meanwhile. It is
// called with the connection's lock held, and releases it.
func (sc *serverConn) sendResponse(c evio.Conn, in []byte) (out []byte, action evio.Action) {
	out, sc.outbuf, sc.responseReady = sc.outbuf, nil, false
	sc.busy, sc.continueSent = false, false
	closing := sc.closing
	sc.mu.Unlock()
	if closing {
		return out, evio.Close
	}
	// evio replaces output that it has not written yet by that of a
	// later wake, so a request that has already come waits for a turn.
	if sc.inbuf = append(sc.inbuf, in...); len(sc.inbuf) > 0 {
		c.Wake()
	} else {
		sc.inbuf = nil
	}
	return out, evio.None
}

// nextRequest parses what has come and hands a whole request to the handler.
func (s *Server) nextRequest(c evio.Conn, sc *serverConn) (out []byte, action evio.Action) {
	r, n, err := ParseRequest(sc.inbuf, s.maxBody[c.AddrIndex()])
	if err != nil {
		status := 400
		if errors.Is(err, ErrTooLarge) {
			status = 413
		}
		sc.refused, sc.inbuf = true, nil
		time.AfterFunc(lingerTime, func() {
			sc.mu.Lock()
			sc.lingerExpired = true
			sc.mu.Unlock()
			c.Wake()
		})
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
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		r.From = a.AddrPort().Addr()
	}
	s.handler(sc.id, c.AddrIndex(), r)
	return out, evio.None
}

// Answer sends the response to the request in progress on a connection. It may
// be called from any goroutine.
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
