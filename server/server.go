// Package server runs a controller. It connects the HTTP server and the HTTP client to
// controller.Controller, which makes all scheduling decisions and does no input or output itself. The
// package only decides the order in which commands are passed to the controller.
//
// # Goroutines
//
// Run's goroutine is the only one that uses the Controller and the peer encoder. It receives commands
// from two channels, passes them to Controller.Step in batches, and starts the effects that Step
// returns. A second goroutine runs the HTTP server's event loop, which calls handleRequest; the handler
// must not block, so a request is refused at once if its channel is full. Each outgoing call has its own
// goroutine, which ends once the response or the timeout has been queued as a command. Incoming requests
// stay in pendingRequests, guarded by mu, until their reply is sent.
//
// # Shutdown
//
// Cancelling the context passed to Run stops the server: Run returns without waiting for outgoing calls,
// and the event loop ends with the next event of a connection, which also closes the listeners. The
// channels are never closed; goroutines that still send to them return when the context is cancelled.
package server

// This file holds the server and the main loop, which runs the controller's steps.

import (
	"context"
	"sync"
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/peer"
)

// Maximum body sizes, in bytes.
const (
	maxRequest     = 64 << 10
	maxPeerMessage = 4 << 20  // gossip about a partition with many machines
	maxResponse    = 64 << 20 // the key-value store does not limit the changes in one response
)

// Indices of the listeners, in the order of the addresses passed to httpx.Server.Serve.
const (
	listenAPI  = 0
	listenPeer = 1
)

const (
	queueLength         = 4096 // capacity of each command channel
	maxBatch            = 64   // commands in one controller step
	defaultFDLimit      = 1024 // file descriptors, if the settings give no limit
	idleConnsPerAddress = 4
	sweepInterval       = 5 * time.Second // interval for closing expired idle connections
)

// Server is a running controller.
type Server struct {
	config     *config.Config
	controller *controller.Controller // used only by Run's goroutine
	commands   chan message.Command
	heartbeats chan message.Command // from workers; a separate channel, so that they cannot delay other commands

	httpServer  *httpx.Server
	httpClient  *httpx.Client
	peerEncoder peer.Encoder // used only by Run's goroutine
	startedAt   time.Time

	mu              sync.Mutex // guards the fields below
	pendingRequests map[message.ReqID]requestOrigin
	lastReqID       message.ReqID
}

// requestOrigin identifies the connection and the listener of a pending request.
type requestOrigin struct {
	conn     httpx.ConnID
	listener int
}

// New returns a Server for the controller described by cfg. Run starts it.
func New(cfg *config.Config) *Server {
	s := &Server{
		config:          cfg,
		commands:        make(chan message.Command, queueLength),
		heartbeats:      make(chan message.Command, queueLength),
		startedAt:       time.Now(),
		pendingRequests: map[message.ReqID]requestOrigin{},
	}
	s.controller = controller.New(cfg, s.startedAt.UnixNano())
	fdLimit := cfg.Deployment.Limits.FDLimit
	if fdLimit == 0 {
		fdLimit = defaultFDLimit
	}
	// Most file descriptors are reserved for workers and users, because a single controller may have to
	// serve all of them. An eighth is reserved for idle connections of outgoing calls.
	s.httpServer = httpx.NewServer([]int{listenAPI: maxRequest, listenPeer: maxPeerMessage}, fdLimit*3/4, s.handleRequest)
	s.httpClient = httpx.NewClient(maxResponse, idleConnsPerAddress, fdLimit/8)
	return s
}

// Run serves until the context is cancelled, and then returns nil. It returns an error if it cannot listen
// on the addresses. It may be called only once.
func (s *Server) Run(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go s.serveHTTP(ctx, serveErr)
	tick := time.NewTicker(controller.TickInterval)
	defer tick.Stop()
	stepper := newStepper(s)
	batch := make([]message.Command, 0, maxBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case err := <-serveErr:
			return err
		case command := <-s.commands:
			batch = append(batch, command)
		case command := <-s.heartbeats:
			batch = append(batch, command)
		case <-tick.C:
		}
		stepper.step(ctx, s.fillBatch(batch))
	}
}

// serveHTTP runs the event loop of the HTTP server. The loop also ends when accepting a connection fails,
// for example for lack of file descriptors; serveHTTP then restarts it.
func (s *Server) serveHTTP(ctx context.Context, failed chan<- error) {
	for ctx.Err() == nil {
		if err := s.httpServer.Serve(ctx, s.config.APIAddr, s.config.PeerListen); err != nil {
			failed <- err
			return
		}
	}
}

// fillBatch appends queued commands to a batch and leaves capacity for one more command. Requests and call
// outcomes have precedence, but a quarter of the batch is reserved for heartbeats.
func (s *Server) fillBatch(batch []message.Command) []message.Command {
	batch = appendQueued(batch, s.commands, cap(batch)*3/4)
	batch = appendQueued(batch, s.heartbeats, cap(batch)-1)
	return appendQueued(batch, s.commands, cap(batch)-1)
}

// appendQueued appends queued commands to a batch until its length reaches limit or the queue is empty.
func appendQueued(batch []message.Command, queue <-chan message.Command, limit int) []message.Command {
	for len(batch) < limit {
		select {
		case command := <-queue:
			batch = append(batch, command)
		default:
			return batch
		}
	}
	return batch
}

// stepper runs the controller's steps and measures their processing time. It is used only by Run's
// goroutine.
type stepper struct {
	server  *Server
	usage   message.ResourceUsage // as of the last step; passed to the next step
	work    workMeter
	sweptAt time.Time
}

func newStepper(s *Server) *stepper {
	st := &stepper{server: s, sweptAt: time.Now()}
	s.controller.OnWorkStart = st.work.switchTo
	return st
}

// step passes a batch to the controller, followed by the resource usage, and starts the returned effects.
func (st *stepper) step(ctx context.Context, batch []message.Command) {
	s := st.server
	st.usage.QueuedRequests = len(s.commands)
	st.usage.QueueLength = st.usage.QueuedRequests + len(s.heartbeats)
	batch = append(batch, st.usage)
	now := time.Now()
	st.work.since = now
	// The controller's clock starts at 1, because the zero Time means that no time is set.
	effects := s.controller.Step(api.Time(now.Sub(s.startedAt)+1), api.WallTime(now.UnixMilli()), batch)
	st.work.switchTo(st.work.current)
	for _, effect := range effects {
		s.execute(ctx, effect)
	}
	st.usage.StepTime, st.usage.WorkTime = time.Since(now), st.work.spent
	if now.Sub(st.sweptAt) > sweepInterval {
		st.sweptAt = now
		s.httpClient.CloseExpired()
		st.usage.ProcessTime = processCPUTime()
	}
}
