package emulator

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/runner"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// handler implements runner.Server.
type handler struct {
	engine *Engine
}

// Handler returns the gRPC handlers of the engine.
func (e *Engine) Handler() runner.Server { return handler{engine: e} }

// Run implements runner.Server.
func (h handler) Run(stream grpc.BidiStreamingServer[runner.Command, cowslipproxy.Reply]) error {
	e := h.engine
	replies := make(chan cowslipproxy.Reply, 1024)
	go e.sendReplies(stream, replies)
	sendReply := func(reply cowslipproxy.Reply) {
		select {
		case replies <- reply:
		case <-stream.Context().Done():
		}
	}
	defer e.freeContexts(func(_ contextKey, seq *sequence) bool { return seq.owner == stream })
	for {
		var command *runner.Command
		var err error
		if command, err = stream.Recv(); err != nil {
			return err
		}
		if command.Step == nil {
			e.freeContexts(func(key contextKey, _ *sequence) bool { return key.request == command.Cancel })
			continue
		}
		e.enqueue(&job{step: *command.Step, owner: stream, enqueuedAt: time.Now(), sendReply: sendReply})
	}
}

// sendReplies sends each reply after the round-trip time of the link.
func (e *Engine) sendReplies(stream grpc.BidiStreamingServer[runner.Command, cowslipproxy.Reply], replies <-chan cowslipproxy.Reply) {
	type delayed struct {
		reply  cowslipproxy.Reply
		sendAt time.Time
	}
	outgoing := make(chan delayed, 1024)
	duplicates := make(chan cowslipproxy.Reply, 1024)
	go func() {
		defer close(outgoing)
		for {
			select {
			case <-stream.Context().Done():
				return
			case reply := <-replies:
				outgoing <- delayed{reply: reply, sendAt: time.Now().Add(2 * e.linkDelay())}
				e.scheduleDuplicate(reply, duplicates)
			case reply := <-duplicates:
				outgoing <- delayed{reply: reply, sendAt: time.Now()}
			}
		}
	}()
	for next := range outgoing {
		time.Sleep(time.Until(next.sendAt))
		for _, reply := range e.applyReplyFaults(next.reply) {
			if err := stream.Send(&reply); err != nil {
				return // Recv returns the same error and ends the stream
			}
		}
	}
}

// scheduleDuplicate sends a second copy of a reply later if the DuplicateDelay fault is set.
func (e *Engine) scheduleDuplicate(reply cowslipproxy.Reply, duplicates chan<- cowslipproxy.Reply) {
	e.mu.Lock()
	delay := time.Duration(e.faults.DuplicateDelay)
	e.mu.Unlock()
	if delay == 0 {
		return
	}
	time.AfterFunc(delay, func() {
		select {
		case duplicates <- reply:
		default: // the stream has ended or its buffer is full
		}
	})
}

func (e *Engine) isSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Silent
}

func (e *Engine) linkDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LinkFactor > 0 {
		return time.Duration(float64(e.LinkLatency) * e.faults.LinkFactor)
	}
	return e.LinkLatency
}

// applyReplyFaults returns the replies to send in place of a reply: the reply itself, and
// those that the DuplicateReplies and MismatchedReplies faults add.
func (e *Engine) applyReplyFaults(reply cowslipproxy.Reply) []cowslipproxy.Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	replies := []cowslipproxy.Reply{reply}
	if e.faults.DuplicateReplies {
		replies = append(replies, reply)
	}
	if e.faults.MismatchedReplies {
		otherRequest, otherAttempt := reply, reply
		otherRequest.Request = "another-" + reply.Request
		otherAttempt.Attempt += 1000
		replies = append([]cowslipproxy.Reply{otherRequest, otherAttempt}, replies...)
	}
	return replies
}

// Report implements runner.Server.
func (h handler) Report(stream grpc.ServerStreamingServer[cowslipproxy.Report]) error {
	for {
		if report := h.engine.loadReport(); !h.engine.isSilent() {
			if err := stream.Send(&report); err != nil {
				return err
			}
		}
		if err := wait(stream.Context(), max(h.engine.ReportInterval, 10*time.Millisecond)); err != nil {
			return err
		}
	}
}

// Events implements runner.Server.
func (h handler) Events(stream grpc.ServerStreamingServer[cowslipproxy.CacheEvent]) error {
	e := h.engine
	var next uint64
	for {
		if err := wait(stream.Context(), max(e.ReportInterval, 10*time.Millisecond)); err != nil {
			return err
		}
		e.mu.Lock()
		events := e.prefixes.eventsSince(next)
		e.mu.Unlock()
		for _, event := range events {
			if err := stream.Send(&event); err != nil {
				return err
			}
			next = event.Seq + 1
		}
	}
}

func wait(ctx context.Context, d time.Duration) error {
	if !waiter.Wait(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// Export implements runner.Server.
func (h handler) Export(ctx context.Context, id *cowslipproxy.StepID) (*cowslipproxy.Cache, error) {
	var cache cowslipproxy.Cache
	var err error
	if cache, err = h.engine.exportContext(*id); err != nil {
		return nil, err
	}
	return &cache, wait(ctx, h.engine.copyTime(cache.Tokens))
}

func (e *Engine) exportContext(id cowslipproxy.StepID) (cowslipproxy.Cache, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	seq, ok := e.contexts[contextKey{request: id.Request, attempt: id.Attempt}]
	if !ok {
		return cowslipproxy.Cache{}, status.Errorf(codes.NotFound, "no context of request %s, attempt %d", id.Request, id.Attempt)
	}
	var data []byte
	var err error
	if data, err = seq.encode(); err != nil {
		return cowslipproxy.Cache{}, err
	}
	id.Token, id.Range = seq.Token, e.Range
	return cowslipproxy.Cache{StepID: id, Model: e.Model.Name, Version: e.Model.Version, Tokens: seq.Positions, Data: data}, nil
}

func (e *Engine) copyTime(positions int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.LayerCopyTime * time.Duration(positions*e.Range.Len())
}

// Import implements runner.Server.
func (h handler) Import(ctx context.Context, cache *cowslipproxy.Cache) (*runner.Empty, error) {
	e := h.engine
	var seq *sequence
	var err error
	if seq, err = decodeSequence(cache.Data); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := wait(ctx, e.copyTime(seq.Positions)); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if cache.Range != e.Range || cache.Model != e.Model.Name || cache.Version != e.Model.Version {
		return nil, status.Errorf(codes.FailedPrecondition, "cache does not match the engine, which holds model %s, version %s, layers %v", e.Model.Name, e.Model.Version, e.Range)
	}
	e.contexts[contextKey{request: cache.Request, attempt: cache.Attempt}] = seq
	e.usedTokens += seq.Positions
	return &runner.Empty{}, nil
}

// Order implements runner.Server.
func (h handler) Order(ctx context.Context, order *cowslipproxy.Order) (*runner.Empty, error) {
	e := h.engine
	e.mu.Lock()
	if e.EnforceFencing && order.Fence < e.fence {
		e.mu.Unlock()
		return nil, status.Errorf(codes.FailedPrecondition, "fencing number %d of the order is lower than %d, the highest received", order.Fence, e.fence)
	}
	e.fence = max(e.fence, order.Fence)
	same := e.Model.Name == order.Model && e.Model.Version == order.Version && e.Range == order.Range && e.role == order.Role
	e.mu.Unlock()
	if same {
		return &runner.Empty{}, nil
	}
	if err := wait(ctx, e.LayerLoadTime*time.Duration(order.Range.Len())); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Model = cowslipproxy.Model{Name: order.Model, Version: order.Version, Adapters: order.Adapters, Layers: order.Layers}
	e.Range, e.role = order.Range, order.Role
	e.appliedOrders++
	e.contexts, e.usedTokens = map[contextKey]*sequence{}, 0
	e.prefixes = newPrefixCache(e.PrefixCacheSize)
	return &runner.Empty{}, nil
}
