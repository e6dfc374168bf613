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

// ErrDown is the error of steps that were in flight when the connection to
// their engine broke.
var ErrDown = errors.New("connection to the engine broke")

const (
	firstReconnect   = 50 * time.Millisecond
	longestReconnect = 2 * time.Second
	silence          = 3 * time.Second // reports come several times a second
	sendQueue        = 1024
	maxMessage       = 64 << 20 // a prefill's activations of a long prompt
)

// Engine is a connection to one model engine. It implements cowslipproxy.Engine.
type Engine struct {
	VM       cowslipproxy.VM
	Logger   *slog.Logger
	Metrics  metrics.Registry
	Clock    func() time.Time
	OnUp     func(name string, now time.Time)
	OnDown   func(name string, requests []string, now time.Time) // requests in flight when the connection broke
	OnFail   func(name string, now time.Time)                    // a connection broke or could not be made
	OnReport func(name string, report cowslipproxy.Report, now time.Time)
	OnEvent  func(name string, event cowslipproxy.CacheEvent, now time.Time)

	mu       sync.Mutex
	conn     *grpc.ClientConn
	send     chan Command // nil while there is no connection
	pending  map[cowslipproxy.StepID]chan result
	report   cowslipproxy.Report
	reported time.Time
}

type result struct {
	reply cowslipproxy.Reply
	err   error
}

// Run keeps the engine connected until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	conn, err := grpc.NewClient("passthrough:///"+e.VM.Address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(decoder.CodecName),
			grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
	)
	if err != nil {
		return errors.Wrapf(err, "engine %s", e.VM.Name)
	}
	defer conn.Close()
	e.mu.Lock()
	e.conn = conn
	e.mu.Unlock()
	wait := firstReconnect
	for ctx.Err() == nil {
		began := e.Clock()
		err := e.connect(ctx)
		if ctx.Err() != nil {
			return nil
		}
		e.OnFail(e.VM.Name, e.Clock())
		reporter.EventEngineLost.Log(ctx, e.Logger, slog.String("engine", e.VM.Name), slog.Any("error", err))
		if e.Clock().Sub(began) > longestReconnect {
			wait = firstReconnect
		}
		waiter.Wait(ctx, wait)
		wait = min(2*wait, longestReconnect)
		conn.ResetConnectBackoff()
	}
	return nil
}

// connect opens the streams and serves them until one of them breaks.
func (e *Engine) connect(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var stream grpc.ClientStream
	var err error
	if stream, err = e.open(ctx, "Run", true); err != nil {
		return err
	}
	replies := &grpc.GenericClientStream[Command, cowslipproxy.Reply]{ClientStream: stream}
	send := make(chan Command, sendQueue)
	failed := make(chan error, 5)
	go func() { failed <- e.sendCommands(ctx, replies, send) }()
	go func() { failed <- e.receiveReplies(replies) }()
	go func() { failed <- e.receiveReports(ctx, send) }()
	go func() { failed <- e.receiveEvents(ctx) }()
	go func() { failed <- e.watch(ctx, e.Clock()) }()
	err = <-failed
	e.disconnected()
	return err
}

func (e *Engine) open(ctx context.Context, method string, both bool) (grpc.ClientStream, error) {
	description := &grpc.StreamDesc{StreamName: method, ServerStreams: true, ClientStreams: both}
	var stream grpc.ClientStream
	var err error
	if stream, err = e.conn.NewStream(ctx, description, "/"+serviceName+"/"+method); err != nil {
		return nil, errors.WithStack(err)
	}
	if both {
		return stream, nil
	}
	if err := stream.SendMsg(new(Empty)); err != nil {
		return nil, errors.WithStack(err)
	}
	return stream, errors.WithStack(stream.CloseSend())
}

func (e *Engine) sendCommands(ctx context.Context, stream grpc.BidiStreamingClient[Command, cowslipproxy.Reply], send <-chan Command) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case command := <-send:
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

// deliver hands a reply to the step that waits for it. A reply that matches no
// outstanding step is late, doubled or crossed, and is dropped.
func (e *Engine) deliver(reply cowslipproxy.Reply) {
	e.mu.Lock()
	waiting, ok := e.pending[reply.StepID]
	delete(e.pending, reply.StepID)
	e.mu.Unlock()
	if !ok {
		metrics.GetOrRegisterCounter(reporter.MetricRepliesDropped, e.Metrics).Inc(1)
		return
	}
	waiting <- result{reply: reply}
}

// receiveReports takes load reports. The first one makes the engine usable,
// since before it the engine's layers are unknown.
func (e *Engine) receiveReports(ctx context.Context, send chan Command) error {
	var stream grpc.ClientStream
	var err error
	if stream, err = e.open(ctx, "Report", false); err != nil {
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
		e.report, e.reported = report, now
		if first {
			e.send, e.pending = send, map[cowslipproxy.StepID]chan result{}
		}
		e.mu.Unlock()
		if first {
			e.OnUp(e.VM.Name, now)
			reporter.EventEngineConnected.Log(ctx, e.Logger, slog.String("engine", e.VM.Name), slog.String("model", report.Model), slog.String("range", report.Range.String()))
		}
	}
}

// watch ends a connection on which no reports come any more: a lost link or a
// VM that was cut off tells nothing else.
func (e *Engine) watch(ctx context.Context, began time.Time) error {
	ticker := time.NewTicker(silence / 4)
	defer ticker.Stop()
	looked := began
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := e.Clock()
		if now.Sub(looked) > silence/2 {
			began = now // this process was paused; the reports of that time are still to be read
		}
		looked = now
		e.mu.Lock()
		last := e.reported
		e.mu.Unlock()
		if last.Before(began) {
			last = began
		}
		if quiet := now.Sub(last); quiet > silence {
			return errors.Errorf("no report for %v", quiet)
		}
	}
}

func (e *Engine) receiveEvents(ctx context.Context) error {
	var stream grpc.ClientStream
	var err error
	if stream, err = e.open(ctx, "Events", false); err != nil {
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

func (e *Engine) disconnected() {
	e.mu.Lock()
	pending, up := e.pending, e.send != nil
	e.pending, e.send = nil, nil
	e.mu.Unlock()
	if !up {
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
	e.OnDown(e.VM.Name, requests, e.Clock())
	for _, waiting := range pending {
		waiting <- result{err: ErrDown}
	}
}

// Do implements cowslipproxy.Engine.
func (e *Engine) Do(ctx context.Context, step cowslipproxy.Step) (cowslipproxy.Reply, error) {
	waiting := make(chan result, 1)
	e.mu.Lock()
	send, pending := e.send, e.pending
	if send == nil {
		e.mu.Unlock()
		return cowslipproxy.Reply{}, errors.Wrapf(cowslipproxy.ErrNotStarted, "engine %s is not connected", e.VM.Name)
	}
	if _, ok := pending[step.StepID]; ok {
		e.mu.Unlock()
		return cowslipproxy.Reply{}, errors.Errorf("step %v is outstanding already", step.StepID)
	}
	pending[step.StepID] = waiting
	e.mu.Unlock()
	select {
	case send <- Command{Step: &step}:
	case <-ctx.Done():
		e.forget(step.StepID)
		return cowslipproxy.Reply{}, errors.Wrapf(cowslipproxy.ErrNotStarted, "send queue of engine %s: %v", e.VM.Name, ctx.Err())
	}
	select {
	case got := <-waiting:
		return got.reply, got.err
	case <-ctx.Done():
		e.forget(step.StepID)
		return cowslipproxy.Reply{}, errors.Wrapf(ctx.Err(), "engine %s", e.VM.Name)
	}
}

func (e *Engine) forget(id cowslipproxy.StepID) {
	e.mu.Lock()
	delete(e.pending, id)
	e.mu.Unlock()
}

// Cancel implements cowslipproxy.Engine.
func (e *Engine) Cancel(request string) {
	e.mu.Lock()
	send := e.send
	e.mu.Unlock()
	if send == nil {
		return
	}
	select {
	case send <- Command{Cancel: request}:
	default: // the engine frees contexts that idle, so a lost cancellation only costs memory for a while
	}
}

// Report implements cowslipproxy.Engine.
func (e *Engine) Report() (cowslipproxy.Report, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, e.reported
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
