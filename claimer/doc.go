// Package claimer decides which send of a non-idempotent request is dispatched.
//
// The state of a key is the fold of its partition's log stream. The first claim
// or close of a key wins. A claim that its own owner ends as refused, by an
// outcome or by a close that names it, provably did not run and frees the key
// for the next claim in log order. A close that finds no claim keeps the key
// closed, since a claim of a paused owner may still come behind it.
//
// Times. Keys are remembered for the retention less a tenth, judged by the log's
// own times of two records, so that all readers agree. An owner dispatches only
// within a twentieth of the retention after it made the claim. Memory is freed
// after the whole retention. With clocks that differ by less than a twentieth of
// the retention, an owner that dispatches has therefore read each claim of the
// key that is still remembered, even when it reads late or the log was truncated.
// A daemon that is paused between this check and its first byte for longer than
// the remembered time can still send late; no check of its own can prevent that.
package claimer
