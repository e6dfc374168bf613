package relayer

import "github.com/pkg/errors"

// errUnverifiedEnd reports a stream without a length or chunks that ended between two
// events. A crash of the engine ends it in the same way as the end of the answer, so that
// only a resumption shows whether more events follow.
var errUnverifiedEnd = errors.New("the end of the stream may be that of its connection")
