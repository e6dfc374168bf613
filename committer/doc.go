// Package committer connects a claimer to the log. It appends the claims of many
// requests in one entry, reads the claims streams and limits the time of every wait.
//
// # Correctness of refusals
//
// A claim whose append is not confirmed in time may be in the log, may still be in
// flight or may be lost. Claim then abandons it in this order: it removes the claim
// from this daemon's table of claims, tries to append a close that names the claim,
// and returns refused with the reason log_unavailable. There are three cases.
//
// The close is read before any claim of the key: the key is closed for all
// daemons, and a claim that follows has no effect, even if it comes from a daemon
// that was paused.
//
// The claim is read before the close: it takes effect, but its owner has removed it
// from its table, and a daemon dispatches only claims in its table. Nothing can add
// it again, since each attempt makes a claim with a new id. A close from the owner
// of the claim states that the request did not run, and closes the key.
//
// The close is not confirmed: the refusal relies on the owner's table alone, which
// doesn't depend on the log. A retry that finds the open claim later waits for its
// outcome. If the owner is alive, it reads its own claim, finds that
// the table lacks it, and appends the outcome refused: the retry is refused, and
// the key is available to a later attempt. If the owner is gone, the retry gets
// unknown. That is weaker than the first answer but doesn't contradict it: the
// request did not run, but this can no longer be proved. If the claim was lost, the
// retry finds nothing and is treated as a new request.
//
// A refusal with log_unavailable applies to that attempt only. During an outage of
// the log, a daemon can't see claims that other daemons made for earlier attempts
// with the key, and can't close the key. A caller whose earlier attempt ended with
// unknown or with a broken connection must keep the key and retry.
package committer
