package relayer

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/retrier"
)

const (
	// maxSends bounds how often a request is sent, whatever the reasons.
	maxSends = 6
	// firstPatience is how many times the route's target the first event may take.
	firstPatience = 2
	// pausePatience is how many times the route's longest pause the next event may take.
	pausePatience = 2
	// pathWait is the time between two looks for a path while some layer has no engine.
	pathWait = 50 * time.Millisecond
	// buffer holds some events of a stream, in bytes.
	buffer = 2 << 10
)

var (
	errStalled = errors.New("no event in time")
	errNoPath  = errors.New("some layer has no engine")
)

// streaming relays a request that engines run on a path.
type streaming struct {
	*exchange
	last   string // id of the last event that the caller got
	events int    // that the caller got
	runs   int    // runs that engines began
	first  time.Time
}

// run sends the request until an engine has ended the answer or no further try
// is allowed.
func (s *streaming) run(ctx context.Context) *cowslipproxy.Failure {
	s.last = s.query.Last
	finder := s.Upstreams.Finder(s.service.Name)
	var err error
	for sends := 0; sends < maxSends; sends++ {
		var path *pathfinder.Path
		if path, err = s.await(ctx, finder); err != nil {
			break
		}
		var notRun bool
		if notRun, err = s.try(ctx, finder, path); err == nil {
			return nil
		}
		if ctx.Err() != nil || !s.again(notRun) {
			break
		}
	}
	return s.giveUp(ctx, err)
}

// await returns a path, and waits for one while engines load layers.
func (s *streaming) await(ctx context.Context, finder *pathfinder.Finder) (*pathfinder.Path, error) {
	limit := s.Clock().Add(s.route.Target)
	for {
		need := pathfinder.Need{Tokens: s.query.Prompt + s.expected()}
		if path, ok := finder.Choose(s.Clock(), need); ok {
			return path, nil
		}
		if s.Clock().After(limit) {
			return nil, errors.WithStack(errNoPath)
		}
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		case <-time.After(pathWait):
		}
	}
}

// expected returns the answer's expected tokens.
func (s *streaming) expected() int {
	if s.query.Hint > 0 {
		return min(s.query.Hint, max(s.query.Output, s.query.Hint))
	}
	return s.service.Engine.Answer
}

// again decides whether the request is sent once more.
func (s *streaming) again(notRun bool) bool {
	if !notRun && s.runs >= s.route.Attempts {
		return false
	}
	return s.Upstreams.Budget(s.service.Name).Retry(s.Clock(), retrier.Attempt{
		Effect: s.route.Effect, NotStarted: notRun, Tries: 1, Left: s.left(),
	}).Again
}

// giveUp tells the caller that no further try is made.
func (s *streaming) giveUp(ctx context.Context, err error) *cowslipproxy.Failure {
	if s.status != 0 {
		return cowslipproxy.Unknown(cowslipproxy.ReasonAnswerLost, "the answer broke off: %v", err)
	}
	if s.runs > 0 {
		return s.fail(ctx, err)
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return cowslipproxy.Refuse(cowslipproxy.ReasonCancelled, "the caller went away")
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "no engines took the request: %v", err).After(crowdWait)
}

// try sends the request on a path and relays the events. It reports whether
// the engines provably didn't run it.
func (s *streaming) try(ctx context.Context, finder *pathfinder.Finder, path *pathfinder.Path) (notRun bool, err error) {
	finder.Begin(path)
	defer finder.End(path)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(firstPatience*s.route.Target, func() { cancel(errStalled) })
	defer watch.Stop()
	first := path.First()
	got, err := s.send(ctx, cowslipproxy.Dispatch{Instance: first.Instance, Address: first.Address, Path: path.Hops, Last: s.last})
	if err == nil && got.StatusCode != http.StatusOK {
		notRun, err = s.rejected(finder, path, got)
	} else if err == nil {
		s.tries++
		s.runs++
		err = s.relay(got, finder, path, watch)
	} else if notRun = errors.Is(err, cowslipproxy.ErrNotStarted); notRun {
		finder.Broken(s.Clock(), first.Address)
	} else {
		s.tries++
		s.runs++
	}
	if err == nil {
		return false, nil
	}
	s.learn(ctx, finder, path, err, notRun)
	return notRun, err
}

// rejected takes in an answer that is no stream.
func (s *streaming) rejected(finder *pathfinder.Finder, path *pathfinder.Path, got answered) (notRun bool, err error) {
	_, err = whole(got)
	address := got.Fault
	if !address.IsValid() {
		address = path.First().Address
	}
	switch {
	case got.StatusCode == http.StatusMisdirectedRequest:
		finder.Broken(s.Clock(), address)
	case got.NotRun:
		finder.Full(s.Clock(), address)
	default:
		s.tries++
		s.runs++
	}
	if err != nil {
		return got.NotRun, err
	}
	return got.NotRun, errors.Errorf("status %d of %s", got.StatusCode, address)
}

// learn tells the finder what a failed try shows of the engines.
func (s *streaming) learn(ctx context.Context, finder *pathfinder.Finder, path *pathfinder.Path, err error, notRun bool) {
	if errors.Is(context.Cause(ctx), errStalled) {
		suspects := finder.Stalled(s.Clock(), path)
		reporter.EventStalled.Log(ctx, s.Logger, slog.String("request", s.query.ID), slog.Int("events", s.events), slog.Any("suspects", suspects))
		return
	}
	reporter.EventTryFailed.Log(ctx, s.Logger, slog.String("request", s.query.ID), slog.String("upstream", path.First().Instance),
		slog.Bool("started", !notRun), slog.Int("events", s.events), slog.Any("error", err))
}

// relay passes events on as they arrive.
func (s *streaming) relay(got answered, finder *pathfinder.Finder, path *pathfinder.Path, watch *time.Timer) error {
	defer got.Body.Close()
	events := eventReader{from: bufio.NewReaderSize(got.Body, buffer)}
	for {
		next, err := events.next()
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		ended := err != nil
		watch.Reset(pausePatience * s.route.Pause)
		if !ended || len(next.data) > 0 {
			finder.Progress(s.Clock(), path)
		}
		if err := s.pass(got, next); err != nil {
			return err
		}
		if ended {
			return nil
		}
	}
}

// pass hands one event to the caller, and the head before the first one.
func (s *streaming) pass(got answered, next event) error {
	if s.status == 0 {
		s.copyHeader(got.Header)
		s.w.Header().Del("Content-Length")
		s.status = got.StatusCode
		s.first = s.Clock()
		s.w.WriteHeader(s.status)
	}
	if len(next.data) == 0 {
		return nil
	}
	if _, err := s.w.Write(next.data); err != nil {
		return errors.Wrap(err, "caller")
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Wrap(err, "caller")
	}
	s.events++
	if next.id != "" {
		s.last = next.id
	}
	return nil
}
