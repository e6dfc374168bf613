// Package committer connects a claimer to the log. It appends the claims of many
// requests in one entry, follows the claims streams and bounds every wait.
//
// # Why a refusal is true
//
// A claim whose append isn't confirmed in time may be in the log, may still be
// under way, or may be lost. Claim then gives up in this order: it removes the
// claim from this daemon's table of claims, tries to append a close that names
// the claim, and answers refused with log_unavailable. There are three cases.
//
// The close is read before any claim of the key: the key is closed for all
// daemons, and a claim that comes behind it, also one of a paused daemon, loses.
//
// The claim is read before the close: it counts, but its owner has removed it
// from its table, and a daemon dispatches only what is in the table. Nothing can
// put it back, since each send makes a claim with a new id. The close by the
// claim's own owner is its word that it did not run, and closes the key.
//
// The close can't be confirmed: the refusal is true by the owner's table alone,
// which needs no log. A resend that later meets the unfinished claim finds no
// outcome and waits. If the owner lives, it reads its own claim, sees that the
// table lacks it, and appends the outcome refused: the resend gets refused, and
// the key is free for a later send. If the owner
// is gone, the resend gets unknown. That is weaker than the first answer but
// doesn't contradict it: the request did not run, and nobody can prove it any
// longer. If the claim was lost, the resend finds nothing and is a new request.
//
// A refusal with log_unavailable speaks of that send only. While the log is
// out, a daemon can't see claims that other daemons made for earlier sends of
// the key, nor close the key. A caller whose earlier send ended with unknown or
// with a broken connection must keep the key and send again.
package committer
