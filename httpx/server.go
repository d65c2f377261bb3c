package httpx

// This file holds the server.

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

// Handler receives each request, on the server's event loop; listener is the index of the address at
// which it arrived. It must not block. The request is answered by Server.Answer, then or later.
type Handler func(id ConnID, listener int, r Request)

// serverConn is an open connection. Only the event loop touches the fields above mu.
type serverConn struct {
	id           ConnID
	evio         evio.Conn
	inbuf        []byte
	busy         bool // a request waits for its answer; the next one stays in inbuf
	closing      bool // close after the answer
	continueSent bool // 100 Continue was sent for the current request
	refused      bool // answered for the last time; what still arrives is discarded
	discarded    int  // bytes, since it was refused

	mu            sync.Mutex
	outbuf        []byte // written by Answer, taken by the event loop
	responseReady bool   // the response in outbuf is complete
	lingerExpired bool   // refused long enough ago to be closed
}

// A connection whose request was refused before it was read stays open for a while: closed on a client
// that still sends, it would be reset and the client would lose the response.
const (
	lingerTime  = 2 * time.Second
	lingerBytes = 1 << 20
)

// Server is an HTTP server on one event loop of evio. Serve runs the loop; requests are answered from
// any goroutine.
type Server struct {
	maxBody  []int // bytes, by listener
	maxConns int
	handler  Handler
	ctx      context.Context // of Serve: evio's callbacks take none

	mu       sync.Mutex // guards what follows
	conns    map[ConnID]*serverConn
	lastID   ConnID
	refusals refusalCounter
}

// refusalCounter counts refused connections, so that they are logged once a second: there are thousands
// when all clients of other controllers turn to this one.
type refusalCounter struct {
	count    int
	loggedAt time.Time
}

// record counts a refusal. Once a second it reports that refusals are to be logged, and how many there
// were since the last time.
func (r *refusalCounter) record(now time.Time) (count int, shouldLog bool) {
	r.count++
	if now.Sub(r.loggedAt) < time.Second {
		return 0, false
	}
	count, r.count, r.loggedAt = r.count, 0, now
	return count, true
}

// NewServer returns a server that passes its requests to handler. maxBody bounds their bodies, in bytes,
// for each of the addresses that it will listen on; maxConns bounds the open connections.
func NewServer(maxBody []int, maxConns int, handler Handler) *Server {
	return &Server{maxBody: maxBody, maxConns: maxConns, handler: handler, conns: map[ConnID]*serverConn{}}
}

// Serve listens on the addresses and runs the event loop. After the context has ended it returns with
// the next event of a connection. It returns nil when evio ends the loop because a connection could not
// be accepted; the caller may then serve again.
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

// opened accepts a connection, or refuses it if there are too many.
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

// closed forgets a connection.
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

// data receives new bytes, and none after a Wake, which says that a response is ready.
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

// sendResponse returns the response that is ready and keeps what has arrived meanwhile. It is called with
// mu held, and releases it.
func (sc *serverConn) sendResponse(c evio.Conn, in []byte) (out []byte, action evio.Action) {
	out, sc.outbuf, sc.responseReady = sc.outbuf, nil, false
	sc.busy, sc.continueSent = false, false
	closing := sc.closing
	sc.mu.Unlock()
	if closing {
		return out, evio.Close
	}
	// evio replaces output that it has not written yet by that of a later wake, so a request that has
	// already arrived is parsed in the next iteration of the loop.
	if sc.inbuf = append(sc.inbuf, in...); len(sc.inbuf) > 0 {
		c.Wake()
	} else {
		sc.inbuf = nil
	}
	return out, evio.None
}

// nextRequest parses what has arrived and passes a complete request to the handler.
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
		r.From = remote.AddrPort().Addr()
	}
	s.handler(sc.id, c.AddrIndex(), r)
	return out, evio.None
}

// startLinger has the connection closed after lingerTime.
func (sc *serverConn) startLinger() {
	time.AfterFunc(lingerTime, func() {
		sc.mu.Lock()
		sc.lingerExpired = true
		sc.mu.Unlock()
		sc.evio.Wake()
	})
}

// Answer sends the response to the request in progress on a connection; if the connection has closed
// meanwhile, the response is dropped. It may be called from any goroutine.
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
