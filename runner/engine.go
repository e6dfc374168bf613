package runner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// ErrDisconnected is the error of steps that were in flight when the connection to their
// engine was lost.
var ErrDisconnected = errors.New("connection to engine lost")

const (
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	reportTimeout     = 3 * time.Second // engines send several reports per second
	sendQueueSize     = 1024
	maxMessageSize    = 64 << 20 // enough for the activations of the prefill of a long prompt
)

// Engine is a connection to one model engine. It implements cowslipproxy.Engine.
type Engine struct {
	VM                  cowslipproxy.VM
	Logger              *slog.Logger
	Metrics             metrics.Registry
	Clock               func() time.Time
	OnConnect           func(name string, now time.Time)
	OnDisconnect        func(name string, requests []string, now time.Time) // requests that were in flight when the connection was lost
	OnConnectionFailure func(name string, now time.Time)                    // a connection was lost or could not be established
	OnReport            func(name string, report cowslipproxy.Report, now time.Time)
	OnEvent             func(name string, event cowslipproxy.CacheEvent, now time.Time)

	mu         sync.Mutex
	conn       *grpc.ClientConn
	sendQueue  chan Command // nil while there is no connection
	pending    map[cowslipproxy.StepID]chan result
	report     cowslipproxy.Report
	reportedAt time.Time
}

type result struct {
	reply cowslipproxy.Reply
	err   error
}

// Run connects to the engine, and reconnects after failures, until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	conn, err := grpc.NewClient("passthrough:///"+e.VM.Address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(decoder.CodecName),
			grpc.MaxCallRecvMsgSize(maxMessageSize), grpc.MaxCallSendMsgSize(maxMessageSize)),
	)
	if err != nil {
		return errors.Wrapf(err, "engine %s", e.VM.Name)
	}
	defer conn.Close()
	e.mu.Lock()
	e.conn = conn
	e.mu.Unlock()
	delay := minReconnectDelay
	for ctx.Err() == nil {
		connectStart := e.Clock()
		err := e.serve(ctx)
		if ctx.Err() != nil {
			return nil
		}
		e.OnConnectionFailure(e.VM.Name, e.Clock())
		reporter.EventEngineLost.Log(ctx, e.Logger, slog.String("engine", e.VM.Name), slog.Any("error", err))
		if e.Clock().Sub(connectStart) > maxReconnectDelay {
			delay = minReconnectDelay
		}
		waiter.Wait(ctx, delay)
		delay = min(2*delay, maxReconnectDelay)
		conn.ResetConnectBackoff()
	}
	return nil
}

// serve opens the streams of a connection, and sends and receives on them until one of
// them fails or reports stop arriving.
func (e *Engine) serve(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var stream grpc.ClientStream
	var err error
	if stream, err = e.openStream(ctx, "Run", true); err != nil {
		return err
	}
	runStream := &grpc.GenericClientStream[Command, cowslipproxy.Reply]{ClientStream: stream}
	sendQueue := make(chan Command, sendQueueSize)
	failed := make(chan error, 5)
	go func() { failed <- e.sendCommands(ctx, runStream, sendQueue) }()
	go func() { failed <- e.receiveReplies(runStream) }()
	go func() { failed <- e.receiveReports(ctx, sendQueue) }()
	go func() { failed <- e.receiveEvents(ctx) }()
	go func() { failed <- e.watchReports(ctx, e.Clock()) }()
	err = <-failed
	e.handleDisconnect()
	return err
}

// openStream opens the stream of a method. It sends the request of a method that only the
// engine streams.
func (e *Engine) openStream(ctx context.Context, method string, bidirectional bool) (grpc.ClientStream, error) {
	description := &grpc.StreamDesc{StreamName: method, ServerStreams: true, ClientStreams: bidirectional}
	var stream grpc.ClientStream
	var err error
	if stream, err = e.conn.NewStream(ctx, description, "/"+serviceName+"/"+method); err != nil {
		return nil, errors.WithStack(err)
	}
	if bidirectional {
		return stream, nil
	}
	if err := stream.SendMsg(new(Empty)); err != nil {
		return nil, errors.WithStack(err)
	}
	return stream, errors.WithStack(stream.CloseSend())
}

func (e *Engine) sendCommands(ctx context.Context, stream grpc.BidiStreamingClient[Command, cowslipproxy.Reply], sendQueue <-chan Command) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case command := <-sendQueue:
			if err := stream.Send(&command); err != nil {
				return errors.WithStack(err)
			}
		}
	}
}

func (e *Engine) receiveReplies(stream grpc.BidiStreamingClient[Command, cowslipproxy.Reply]) error {
	for {
		var reply *cowslipproxy.Reply
		var err error
		if reply, err = stream.Recv(); err != nil {
			return errors.WithStack(err)
		}
		e.deliver(*reply)
	}
}

// deliver passes a reply to the step that waits for it. A reply that matches no
// outstanding step is late, duplicated or misrouted, and is dropped.
func (e *Engine) deliver(reply cowslipproxy.Reply) {
	e.mu.Lock()
	results, ok := e.pending[reply.StepID]
	delete(e.pending, reply.StepID)
	e.mu.Unlock()
	if !ok {
		metrics.GetOrRegisterCounter(reporter.MetricRepliesDropped, e.Metrics).Inc(1)
		return
	}
	results <- result{reply: reply}
}

// receiveReports receives load reports. The engine becomes usable with the first one,
// since its layers are unknown before.
func (e *Engine) receiveReports(ctx context.Context, sendQueue chan Command) error {
	var stream grpc.ClientStream
	var err error
	if stream, err = e.openStream(ctx, "Report", false); err != nil {
		return err
	}
	for first := true; ; first = false {
		var report cowslipproxy.Report
		if err := stream.RecvMsg(&report); err != nil {
			return errors.WithStack(err)
		}
		now := e.Clock()
		e.OnReport(e.VM.Name, report, now)
		e.mu.Lock()
		e.report, e.reportedAt = report, now
		if first {
			e.sendQueue, e.pending = sendQueue, map[cowslipproxy.StepID]chan result{}
		}
		e.mu.Unlock()
		if first {
			e.OnConnect(e.VM.Name, now)
			reporter.EventEngineConnected.Log(ctx, e.Logger, slog.String("engine", e.VM.Name), slog.String("model", report.Model), slog.String("range", report.Range.String()))
		}
	}
}

// watchReports returns an error when no report has arrived for reportTimeout, counted
// from since at the earliest. A lost link or an isolated VM gives no other sign of
// failure.
func (e *Engine) watchReports(ctx context.Context, since time.Time) error {
	ticker := time.NewTicker(reportTimeout / 4)
	defer ticker.Stop()
	lastCheck := since
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := e.Clock()
		if now.Sub(lastCheck) > reportTimeout/2 {
			since = now // this process was paused; reports received meanwhile are not read yet
		}
		lastCheck = now
		e.mu.Lock()
		last := e.reportedAt
		e.mu.Unlock()
		if last.Before(since) {
			last = since
		}
		if idle := now.Sub(last); idle > reportTimeout {
			return errors.Errorf("no report for %v", idle)
		}
	}
}

func (e *Engine) receiveEvents(ctx context.Context) error {
	var stream grpc.ClientStream
	var err error
	if stream, err = e.openStream(ctx, "Events", false); err != nil {
		return err
	}
	for {
		var event cowslipproxy.CacheEvent
		if err := stream.RecvMsg(&event); err != nil {
			return errors.WithStack(err)
		}
		e.OnEvent(e.VM.Name, event, e.Clock())
	}
}

// handleDisconnect ends the steps in flight with ErrDisconnected. It does nothing if the
// engine sent no report on the connection.
func (e *Engine) handleDisconnect() {
	e.mu.Lock()
	pending, wasConnected := e.pending, e.sendQueue != nil
	e.pending, e.sendQueue = nil, nil
	e.mu.Unlock()
	if !wasConnected {
		return
	}
	seen := map[string]bool{}
	var requests []string
	for id := range pending {
		if !seen[id.Request] {
			seen[id.Request] = true
			requests = append(requests, id.Request)
		}
	}
	e.OnDisconnect(e.VM.Name, requests, e.Clock())
	for _, results := range pending {
		results <- result{err: ErrDisconnected}
	}
}

// Do implements cowslipproxy.Engine.
func (e *Engine) Do(ctx context.Context, step cowslipproxy.Step) (cowslipproxy.Reply, error) {
	results := make(chan result, 1)
	e.mu.Lock()
	sendQueue, pending := e.sendQueue, e.pending
	if sendQueue == nil {
		e.mu.Unlock()
		return cowslipproxy.Reply{}, errors.Wrapf(cowslipproxy.ErrNotStarted, "engine %s is not connected", e.VM.Name)
	}
	if _, ok := pending[step.StepID]; ok {
		e.mu.Unlock()
		return cowslipproxy.Reply{}, errors.Errorf("step %v is already outstanding", step.StepID)
	}
	pending[step.StepID] = results
	e.mu.Unlock()
	select {
	case sendQueue <- Command{Step: &step}:
	case <-ctx.Done():
		e.removePending(step.StepID)
		return cowslipproxy.Reply{}, errors.Wrapf(cowslipproxy.ErrNotStarted, "step not sent to engine %s: %v", e.VM.Name, ctx.Err())
	}
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
		e.removePending(step.StepID)
		return cowslipproxy.Reply{}, errors.Wrapf(ctx.Err(), "no reply from engine %s", e.VM.Name)
	}
}

func (e *Engine) removePending(id cowslipproxy.StepID) {
	e.mu.Lock()
	delete(e.pending, id)
	e.mu.Unlock()
}

// Cancel implements cowslipproxy.Engine.
func (e *Engine) Cancel(request string) {
	e.mu.Lock()
	sendQueue := e.sendQueue
	e.mu.Unlock()
	if sendQueue == nil {
		return
	}
	select {
	case sendQueue <- Command{Cancel: request}:
	default: // the engine frees idle contexts, so a lost cancellation only wastes memory for a while
	}
}

// Report implements cowslipproxy.Engine.
func (e *Engine) Report() (cowslipproxy.Report, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, e.reportedAt
}

// Export implements cowslipproxy.Engine.
func (e *Engine) Export(ctx context.Context, id cowslipproxy.StepID) (cowslipproxy.Cache, error) {
	var cache cowslipproxy.Cache
	err := e.invoke(ctx, "Export", &id, &cache)
	return cache, err
}

// Import implements cowslipproxy.Engine.
func (e *Engine) Import(ctx context.Context, cache cowslipproxy.Cache) error {
	return e.invoke(ctx, "Import", &cache, new(Empty))
}

// Order implements cowslipproxy.Engine.
func (e *Engine) Order(ctx context.Context, order cowslipproxy.Order) error {
	return e.invoke(ctx, "Order", &order, new(Empty))
}

func (e *Engine) invoke(ctx context.Context, method string, in, out any) error {
	e.mu.Lock()
	conn := e.conn
	e.mu.Unlock()
	if conn == nil {
		return errors.Wrapf(cowslipproxy.ErrNotStarted, "engine %s is not connected", e.VM.Name)
	}
	return errors.Wrapf(conn.Invoke(ctx, "/"+serviceName+"/"+method, in, out), "engine %s", e.VM.Name)
}
