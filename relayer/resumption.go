package relayer

import (
	"io"
	"mime"
	"strconv"

	"github.com/pkg/errors"
)

// answerEnd is how the end of an answer was established. It is empty if the answer broke off
// before its end.
type answerEnd string

const (
	endStated     answerEnd = "stated"     // by the length or the chunks of the upstream's reply
	endVerified   answerEnd = "verified"   // by a resumption that has no further event, or another server's answer of the same length
	endUnverified answerEnd = "unverified" // by nothing but the end of the upstream's connection
)

// errUnverifiedEnd reports a stream without a length or chunks that ended between two
// events. A crash of the engine ends it in the same way as the end of the answer, so that
// only a resumption shows whether more events follow.
var errUnverifiedEnd = errors.New("the end of the stream may be that of its connection")

const mediaTypeEvents = "text/event-stream"

// checkMediaType returns an error if a reply that should resume the answer is not a stream.
func (a *streamAttempt) checkMediaType(reply upstreamReply) error {
	contentType := reply.Header.Get("Content-Type")
	if a.status == 0 || contentType == "" {
		return nil
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil || mediaType != mediaTypeEvents && contentType != a.w.Header().Get("Content-Type") {
		return errors.Wrapf(errInvalidReply, "the resumption has the content type %q", contentType)
	}
	return nil
}

// checkOrder returns an error if an event of a resumption does not continue the answer. The
// first attempt is the upstream's answer as it is, so that its ids are not checked.
func (a *streamAttempt) checkOrder(next event, isResumption bool) error {
	if !isResumption || next.isComment || next.id == "" && a.received > 0 {
		return nil
	}
	last, err := strconv.ParseUint(a.lastEventID, 10, 64)
	if err != nil {
		return errors.Wrapf(errInvalidReply, "the answer has no number to continue from, its last event is %q", a.lastEventID)
	}
	number, err := strconv.ParseUint(next.id, 10, 64)
	if err != nil || number != last+1 {
		return errors.Wrapf(errInvalidReply, "event %q does not follow event %d", next.id, last)
	}
	return nil
}

// endStream processes a regular end of the upstream's stream.
func (a *streamAttempt) endStream(reply upstreamReply, isResumption bool) error {
	isEmpty := a.received == 0
	switch {
	case isEmpty && a.isEndUnverified && reply.isFramed(): // another attempt has no further event either
	case isEmpty && a.isEndUnverified && a.isFirstAlive(a.path):
		if a.confirmations++; a.confirmations < minConfirmations {
			return errors.WithStack(errUnverifiedEnd)
		}
	case isEmpty && a.isEndUnverified:
		return readError(a.ctx, io.EOF)
	case isEmpty && isResumption:
		return errors.Wrap(errInvalidReply, "the resumption has no event")
	case reply.isFramed():
	case isEmpty && a.lastEventID == "":
		return readError(a.ctx, io.EOF)
	default:
		a.isEndUnverified = true
		return errors.WithStack(errUnverifiedEnd)
	}
	end := endStated
	if a.isEndUnverified {
		end = endVerified
	}
	a.isEndUnverified = false
	a.recordEvent()
	if err := a.writeEvent(reply, event{}); err != nil {
		return err
	}
	a.answerEnd = end
	a.recordCompletion(reply)
	return nil
}

// recordContinuation records that at least one more event follows those that the caller has.
func (a *streamAttempt) recordContinuation() {
	if !a.isEndUnverified {
		return
	}
	a.isEndUnverified, a.confirmations = false, 0
	a.verifyTimer.Stop()
}
