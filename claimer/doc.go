// Package claimer decides which send of a non-idempotent request is dispatched.
//
// # Fold
//
// The state of a key is the fold of its partition's log stream. The first claim
// or close of a key wins. An outcome refused by the claim's own owner proves that
// it did not run and frees the key for the next claim in log order. A close
// without a claim before it, or by the owner of an open claim, closes the key for
// good, since a claim of a paused owner may still come behind it. A close that
// meets another's open claim takes effect if that claim ends as refused.
//
// # Times
//
// A key is remembered for the retention less a tenth after its last claim or
// close, judged by the log's own times, so that all readers agree. Claims and
// closes that lose count too: a reader that starts in a truncated log may miss
// the first record of a key, but then finds the later ones and can't take the
// key for closed while a claim that the others let through runs.
//
// An owner dispatches only within a twentieth of the retention after it made the
// claim, and memory is freed after the whole retention. With clocks that differ
// by less than a twentieth of the retention, an owner that dispatches has
// therefore read each claim of the key that is still remembered. A daemon that is
// paused between this check and its first byte for longer than the remembered
// time can still send late; no check of its own can prevent that.
package claimer
