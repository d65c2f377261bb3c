// Package server wires a controller together: the server and the client pool
// around the one owner, which works through its commands in batches. It
// decides nothing.
package server

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"syscall"
	"time"

	"basaltwall/admin"
	"basaltwall/api"
	"basaltwall/cloud"
	"basaltwall/config"
	"basaltwall/controller"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/peer"
	"basaltwall/state"
	"basaltwall/tenant"
	"basaltwall/worker"
)

const (
	maxRequest     = 64 << 10
	maxPeerMessage = 4 << 20  // news of a partition with very many machines
	maxResponse    = 64 << 20 // a watch's answer has no stated limit
	listenAPI      = 0
	listenPeer     = 1
	queueLength    = 4096
)

// Server is a running controller.
type Server struct {
	config      *config.Config
	controller  *controller.Controller
	commands    chan message.Command
	heartbeats  chan message.Command // of workers: they come when the rest is done
	httpServer  *httpx.Server
	httpClient  *httpx.Client
	peerEncoder peer.Encoder // used by the owner's loop alone
	startedAt   time.Time

	mu              sync.Mutex
	pendingRequests map[message.ReqID]requestOrigin
	lastReqID       message.ReqID
}

type requestOrigin struct {
	conn     httpx.ConnID
	listener int
}

// New returns a controller that is not yet running.
func New(cfg *config.Config) *Server {
	s := &Server{config: cfg, commands: make(chan message.Command, queueLength),
		heartbeats: make(chan message.Command, queueLength), startedAt: time.Now(), pendingRequests: map[message.ReqID]requestOrigin{}}
	s.controller = controller.New(cfg, s.startedAt.UnixNano())
	// Workers and users come first: one controller alone may have to carry all
	// of them. An eighth of the sockets is kept for calls under way.
	fds := cfg.Deployment.Limits.FDLimit
	if fds == 0 {
		fds = 1024
	}
	s.httpServer = httpx.NewServer([]int{listenAPI: maxRequest, listenPeer: maxPeerMessage}, fds*3/4, s.handleRequest)
	s.httpClient = httpx.NewClient(maxResponse, 4, fds/8)
	return s
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	errs := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			// evio ends its loop when a connection can't be accepted, for
			// want of sockets say; that must not end the service.
			if err := s.httpServer.Serve(ctx, s.config.APIAddr, s.config.PeerListen); err != nil {
				errs <- err
				return
			}
		}
	}()
	tick := time.NewTicker(controller.TickInterval)
	defer tick.Stop()
	sweptAt := time.Now()
	workTime := &workMeter{}
	s.controller.OnWorkStart = workTime.switchTo
	var spent message.ResourceUsage
	batch := make([]message.Command, 0, 64)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case err := <-errs:
			return err
		case c := <-s.commands:
			batch = append(batch, c)
		case c := <-s.heartbeats:
			batch = append(batch, c)
		case <-tick.C:
		}
		// Requests and answers go first, but reports keep a quarter.
		batch = fillBatch(batch, s.commands, cap(batch)*3/4)
		batch = fillBatch(batch, s.heartbeats, cap(batch)-1)
		batch = fillBatch(batch, s.commands, cap(batch)-1)
		spent.QueuedRequests = len(s.commands)
		spent.QueueLength = spent.QueuedRequests + len(s.heartbeats)
		batch = append(batch, spent)
		now := time.Now()
		workTime.since = now
		effects := s.controller.Step(api.Time(now.Sub(s.startedAt)+1), api.WallTime(now.UnixMilli()), batch)
		workTime.switchTo(workTime.work)
		for _, effect := range effects {
			s.execute(ctx, effect)
		}
		spent.StepTime, spent.WorkTime = time.Since(now), workTime.spent
		if now.Sub(sweptAt) > 5*time.Second {
			sweptAt = now
			s.httpClient.Sweep()
			spent.ProcessTime = processCPUTime()
		}
	}
}

// fillBatch adds what waits to a batch, up to a length.
func fillBatch(batch []message.Command, commands chan message.Command, limit int) []message.Command {
	for len(batch) < limit {
		select {
		case c := <-commands:
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

// workMeter keeps account of the owner's time by kind of work.
type workMeter struct {
	since time.Time
	work  message.WorkKind
	spent [message.WorkKinds]time.Duration
}

// switchTo ends the account of one kind of work and begins that of another.
func (m *workMeter) switchTo(w message.WorkKind) {
	now := time.Now()
	m.spent[m.work] += now.Sub(m.since)
	m.since, m.work = now, w
}

// processCPUTime is the processor time of the whole process, or 0 where the system
// does not tell.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// execute carries out an effect. Calls run apart, each with a deadline, and
// come back as one command.
func (s *Server) execute(ctx context.Context, effect message.Effect) {
	switch e := effect.(type) {
	case message.Reply:
		s.reply(e)
	case message.StoreCall:
		method, target, body, err := state.Request(e)
		go s.call(ctx, s.config.External.State, method, target, body, err, e.Timeout, func(r httpx.Response, err error) message.Command {
			return state.ParseResponse(e, r, err)
		})
	case message.WorkerCall:
		method, target, body, err := worker.Request(e)
		go s.call(ctx, e.Address, method, target, body, err, e.Timeout, func(r httpx.Response, err error) message.Command {
			return worker.ParseResponse(e, r, err)
		})
	case message.CloudCall:
		method, target, body, err := cloud.Request(e)
		go s.call(ctx, s.config.External.Cloud, method, target, body, err, e.Timeout, func(r httpx.Response, err error) message.Command {
			return cloud.ParseResponse(e, r, err)
		})
	case message.PeerCall:
		addr := ""
		for _, p := range s.config.Peers {
			if p.Label == e.To {
				addr = p.Addr
			}
		}
		method, target, body, err := s.peerEncoder.Request(e)
		go s.call(ctx, addr, method, target, body, err, e.Timeout, func(r httpx.Response, err error) message.Command {
			return peer.ParseReply(e, r, err)
		})
	default:
		slog.Error("unknown effect", "effect", fmt.Sprintf("%T", e))
	}
}

func (s *Server) call(ctx context.Context, addr, method, target string, body []byte, err error, timeout time.Duration,
	toCommand func(httpx.Response, error) message.Command) {
	var r httpx.Response
	if err == nil {
		r, err = s.httpClient.Do(ctx, addr, method, target, body, timeout)
	}
	if err != nil {
		slog.Debug("call failed", "to", addr, "err", err)
	}
	select {
	case s.commands <- toCommand(r, err):
	case <-ctx.Done():
	}
}

func (s *Server) reply(response message.Reply) {
	s.mu.Lock()
	origin, ok := s.pendingRequests[response.Req]
	delete(s.pendingRequests, response.Req)
	s.mu.Unlock()
	if !ok {
		return
	}
	if origin.listener == listenPeer {
		body, err := peer.Encode(message.PeerReply{Status: response.Status, Body: response.Body, RetryAfter: response.RetryAfter, Log: response.Log})
		if err != nil {
			slog.Error("peer reply could not be encoded", "err", err)
			return
		}
		s.httpServer.Answer(origin.conn, 200, body, 0)
		return
	}
	s.httpServer.Answer(origin.conn, response.Status, response.Body, response.RetryAfter)
}

// handleRequest turns a request into a command. It runs on the server's loop.
func (s *Server) handleRequest(conn httpx.ConnID, listener int, r httpx.Request) {
	s.mu.Lock()
	s.lastReqID++
	req := s.lastReqID
	s.pendingRequests[req] = requestOrigin{conn, listener}
	s.mu.Unlock()
	refuse := func(status int, reason string) {
		s.reply(message.Reply{Req: req, Status: status, Body: []byte(`{"error":"` + reason + `"}`)})
	}
	var c message.Command
	if listener == listenPeer {
		m, err := peer.ParseMessage(r.Body)
		if err == nil {
			c = peer.Command(m, req, func(body []byte) message.Command { return heartbeatCommand(req, body, true) })
		}
		if c == nil {
			c = message.MalformedMessage{Req: req, From: r.From.String()}
		}
	} else {
		var status int
		if c, status = s.route(req, r); c == nil {
			refuse(status, map[int]string{404: "no such path", 405: "wrong method", 400: "malformed", 503: "no random bytes"}[status])
			return
		}
	}
	if c == nil {
		refuse(400, "malformed")
		return
	}
	commands := s.commands
	if _, ok := c.(message.WorkerHeartbeat); ok {
		commands = s.heartbeats
	}
	select {
	case commands <- c:
	default:
		// The owner is far behind: the client is told when to come back.
		s.reply(message.Reply{Req: req, Status: 503, Body: []byte(`{"error":"overloaded"}`), RetryAfter: 2})
	}
}

func heartbeatCommand(req message.ReqID, body []byte, forwarded bool) message.Command {
	heartbeat, err := worker.ParseHeartbeat(body)
	if err != nil {
		return nil
	}
	return message.WorkerHeartbeat{Req: req, Heartbeat: heartbeat, Body: body, Forwarded: forwarded}
}

// tenantQuery is a tenant's question for its own jobs that are not over, or its usage.
func tenantQuery(req message.ReqID, what string, r httpx.Request, caller message.Caller) (message.Command, int) {
	after, limit, ok := admin.ParsePage(r)
	if !ok {
		return nil, 400
	}
	return message.TenantQuery{Req: req, What: what, After: after, Limit: limit, Caller: caller}, 0
}

// route finds the command for a request of a user, a worker or the balancer,
// or the status that refuses it.
func (s *Server) route(req message.ReqID, r httpx.Request) (message.Command, int) {
	var caller message.Caller
	if s.config.Hosted != nil {
		caller = message.Caller{Auth: r.Auth, From: r.From, Forwarded: r.Forwarded}
	}
	method := func(want string, c message.Command) (message.Command, int) {
		if r.Method != want {
			return nil, 405
		}
		if c == nil {
			return nil, 400
		}
		return c, 0
	}
	switch r.Path {
	case api.PathReady:
		return method("GET", message.ReadinessProbe{Req: req})
	case api.PathHeartbeat:
		return method("POST", heartbeatCommand(req, r.Body, false))
	case api.PathJobs:
		if s.config.Hosted != nil && r.Method == "GET" {
			return tenantQuery(req, "jobs", r, caller)
		}
		return method("POST", message.Submit{Req: req, Body: r.Body, Caller: caller})
	}
	if r.Path == api.PathUsage && s.config.Hosted != nil {
		if r.Method != "GET" {
			return nil, 405
		}
		return tenantQuery(req, "usage", r, caller)
	}
	if r.Path == api.PathHistory && s.config.Hosted != nil {
		after, limit, ok := admin.ParsePage(r)
		if !ok {
			return nil, 400
		}
		return method("GET", message.ListHistory{Req: req, After: after, Limit: limit, Caller: caller})
	}
	if strings.HasPrefix(r.Path, admin.Prefix) {
		return s.routeAdmin(req, r, caller)
	}
	rest, ok := strings.CutPrefix(r.Path, api.PathJobs+"/")
	if !ok || rest == "" {
		return nil, 404
	}
	jobID, action, hasAction := strings.Cut(rest, "/")
	switch {
	case !hasAction:
		return method("GET", message.Poll{Req: req, Ref: jobID, Caller: caller})
	case action == api.PathSuffixCancel:
		return method("POST", message.Cancel{Req: req, Ref: jobID, Caller: caller})
	}
	return nil, 404
}

// routeAdmin finds the command for an operator's request. Random bytes for a new key come from
// here: the controller's decisions read no source of chance of the machine's.
func (s *Server) routeAdmin(req message.ReqID, r httpx.Request, caller message.Caller) (message.Command, int) {
	if s.config.Hosted == nil && admin.IsHostedPath(r.Path) {
		return nil, 404
	}
	c, status := admin.Command(req, r)
	request, ok := c.(message.AdminRequest)
	if !ok {
		return c, status
	}
	request.Caller = caller
	if request.What.AddsKey() {
		request.Random = new([tenant.RandomBytes]byte)
		if _, err := rand.Read(request.Random[:]); err != nil {
			return nil, 503
		}
	}
	return request, status
}
