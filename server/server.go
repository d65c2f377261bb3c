// Package server runs a controller: it connects the HTTP server and the client pool to
// controller.Controller, which makes all decisions and does no input or output itself. The package
// decides nothing but the order in which commands are handed over.
//
// # Goroutines
//
// Run's goroutine is the only one that touches the Controller and the peer encoder. It takes commands
// from two channels, passes them to Controller.Step in batches, and starts the effects that Step
// returns. A second goroutine runs the HTTP server's event loop, which calls handleRequest; that must
// not block, so a request that finds its channel full is refused at once. Each outgoing call has a
// goroutine of its own, which lasts until the response or the call's deadline, and then until its
// outcome is queued as a command. Incoming requests wait for their reply in pendingRequests, which mu
// guards.
//
// # Shutdown
//
// The context given to Run ends everything: Run returns, calls under way are not waited for, and the
// event loop ends with the next event of a connection, which also closes the listeners. The channels
// are never closed, so a late sender needs no care; it gives up when the context has ended.
package server

// This file holds the server itself and the loop that drives the controller.

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

// Bounds on the bodies of messages, in bytes.
const (
	maxRequest     = 64 << 10
	maxPeerMessage = 4 << 20  // gossip about a partition with very many machines
	maxResponse    = 64 << 20 // the key-value store states no limit for the changes in one response
)

// Indices of the listeners, in the order in which httpx.Server.Serve gets their addresses.
const (
	listenAPI  = 0
	listenPeer = 1
)

const (
	queueLength         = 4096 // commands that wait, in each channel
	maxBatch            = 64   // commands in one step
	defaultFDLimit      = 1024 // file descriptors, where the deployment names no limit
	idleConnsPerAddress = 4
	sweepInterval       = 5 * time.Second // of unused connections
)

// Server is a running controller.
type Server struct {
	config     *config.Config
	controller *controller.Controller // used by Run's goroutine alone
	commands   chan message.Command
	heartbeats chan message.Command // of workers, apart so that they can't hold up the rest

	httpServer  *httpx.Server
	httpClient  *httpx.Client
	peerEncoder peer.Encoder // used by Run's goroutine alone
	startedAt   time.Time

	mu              sync.Mutex // guards what follows
	pendingRequests map[message.ReqID]requestOrigin
	lastReqID       message.ReqID
}

// requestOrigin is where the reply to a request goes.
type requestOrigin struct {
	conn     httpx.ConnID
	listener int
}

// New returns a controller that is not yet running.
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
	// Most descriptors are for workers and users: a single controller may have to serve all of them.
	// An eighth is kept for idle connections of outgoing calls.
	s.httpServer = httpx.NewServer([]int{listenAPI: maxRequest, listenPeer: maxPeerMessage}, fdLimit*3/4, s.handleRequest)
	s.httpClient = httpx.NewClient(maxResponse, idleConnsPerAddress, fdLimit/8)
	return s
}

// Run serves until the context ends, and then returns nil. It returns an error if the addresses can't
// be listened on. It may be called once.
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

// serveHTTP runs the event loop of the HTTP server. The loop also ends when a connection can't be
// accepted, for want of file descriptors say; it is started again then.
func (s *Server) serveHTTP(ctx context.Context, failed chan<- error) {
	for ctx.Err() == nil {
		if err := s.httpServer.Serve(ctx, s.config.APIAddr, s.config.PeerListen); err != nil {
			failed <- err
			return
		}
	}
}

// fillBatch adds waiting commands to a batch and leaves room for one more. Requests and outcomes of
// calls go first, but a quarter of the batch is kept for heartbeats.
func (s *Server) fillBatch(batch []message.Command) []message.Command {
	batch = appendWaiting(batch, s.commands, cap(batch)*3/4)
	batch = appendWaiting(batch, s.heartbeats, cap(batch)-1)
	return appendWaiting(batch, s.commands, cap(batch)-1)
}

// appendWaiting appends commands that wait in a channel, up to a length of the batch.
func appendWaiting(batch []message.Command, waiting <-chan message.Command, limit int) []message.Command {
	for len(batch) < limit {
		select {
		case command := <-waiting:
			batch = append(batch, command)
		default:
			return batch
		}
	}
	return batch
}

// stepper makes the controller's steps and accounts for the time that they take. It belongs to Run's
// goroutine.
type stepper struct {
	server  *Server
	usage   message.ResourceUsage // as of the last step; the next one reports it
	work    workMeter
	sweptAt time.Time
}

func newStepper(s *Server) *stepper {
	st := &stepper{server: s, sweptAt: time.Now()}
	s.controller.OnWorkStart = st.work.switchTo
	return st
}

// step passes a batch to the controller, followed by the usage of resources, and starts the effects.
func (st *stepper) step(ctx context.Context, batch []message.Command) {
	s := st.server
	st.usage.QueuedRequests = len(s.commands)
	st.usage.QueueLength = st.usage.QueuedRequests + len(s.heartbeats)
	batch = append(batch, st.usage)
	now := time.Now()
	st.work.since = now
	// The controller's clock starts at 1: a time of 0 stands for none.
	effects := s.controller.Step(api.Time(now.Sub(s.startedAt)+1), api.WallTime(now.UnixMilli()), batch)
	st.work.switchTo(st.work.current)
	for _, effect := range effects {
		s.execute(ctx, effect)
	}
	st.usage.StepTime, st.usage.WorkTime = time.Since(now), st.work.spent
	if now.Sub(st.sweptAt) > sweepInterval {
		st.sweptAt = now
		s.httpClient.Sweep()
		st.usage.ProcessTime = processCPUTime()
	}
}
