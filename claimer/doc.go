// Package claimer decides which attempt at a non-idempotent request is dispatched.
//
// # State of a key
//
// The state of a key results from applying the records of its partition's log
// stream in order. The first claim or close of a key takes effect. An outcome
// "refused" from the owner of the claim proves that the request did not run and
// releases the key to the next claim in log order. A close that no claim
// precedes, or that comes from the owner of an open claim, closes the key
// permanently, because a claim of a paused owner may still follow it. A close
// that follows another owner's open claim takes effect if that claim ends as
// refused.
//
// # Lifetimes
//
// A key is remembered for nine tenths of the retention after its last claim or
// close. This is measured by the timestamps of the log, so that all readers agree.
// Claims and closes without effect extend the lifetime too. Otherwise a reader that
// starts in a truncated log, and misses the first record of a key, could treat the
// key as claimed or closed by a later record, while other readers have let the key
// expire and accept a new claim.
//
// An owner dispatches only within a twentieth of the retention after it made the
// claim, and memory is freed after the whole retention. If clocks differ by less
// than a twentieth of the retention, an owner that dispatches has therefore read
// each claim of the key that is still remembered. A daemon that is paused for
// longer than the lifetime of a key, between this check and the first byte that it
// sends, can still dispatch late; no check of its own can prevent that.
package claimer
