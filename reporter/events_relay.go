package reporter

import "log/slog"

// Events of the relay daemon, 900 to 999.
var (
	EventRequestEnded         = newEvent(900, slog.LevelInfo, "request ended", "The event has the request, its route, its attempts, its outcome, whether the upstream's answer had a length or chunks, and the limit in requests per second that the last upstream named. docs/callers.md lists the reasons.")
	EventAttemptFailed        = newEvent(901, slog.LevelInfo, "attempt failed", "An upstream refused a request or failed while it ran it. The event has the upstream, its response and the next action of the daemon. For a stream it also has the number of events that the upstream sent and the parts of the prompt that other requests may share.")
	EventStalled              = newEvent(902, slog.LevelWarn, "stream stalled", "No event of the stream arrived in time. The engines in the log event served no other request meanwhile and get no new work for some seconds.")
	EventRelayConfigActivated = newEvent(903, slog.LevelInfo, "configuration activated", "A newer configuration was read. The event has its version, whether it came from the store or another daemon, and how long this daemon has known that a newer version exists.")
	EventRelayConfigInvalid   = newEvent(904, slog.LevelWarn, "configuration invalid", "The record could not be decoded. The previous configuration stays active.")
	EventListEntryInvalid     = newEvent(905, slog.LevelWarn, "list entry invalid", "An entry of the list could not be decoded and is ignored.")
	EventFeedLost             = newEvent(906, slog.LevelWarn, "platform store can't be read", "The data read before stays in use, and newer data is requested from other daemons.")
	EventFeedRestored         = newEvent(907, slog.LevelInfo, "platform store can be read again", "The event has the duration of the outage.")
	EventUpstreamsChanged     = newEvent(908, slog.LevelInfo, "upstreams changed", "The event has the numbers of live and leaving upstreams, those that an outage of the list keeps in use, the daemon whose list this is, its version, its position and its age.")
	EventReadinessChanged     = newEvent(909, slog.LevelInfo, "readiness changed", "The daemon accepts requests once it has a configuration and the list of upstreams, until it is stopped.")
	EventLinkAvoided          = newEvent(911, slog.LevelWarn, "link between data centres avoided", "Consecutive requests whose paths cross the link got their events late, while few requests on other paths did. New paths avoid the link for the duration in the event.")
	EventRelayConfigAnnounced = newEvent(912, slog.LevelInfo, "newer configuration announced", "Another daemon has a newer configuration than this one. The event has its version and the active one. 913 or 914 follows for each attempt to fetch it, and 903 when it is active.")
	EventFetched              = newEvent(913, slog.LevelInfo, "configuration fetched", "The event has the daemon that sent it, the version, the number of bytes and the duration.")
	EventFetchFailed          = newEvent(914, slog.LevelWarn, "fetch of a configuration failed", "The other daemon did not send its configuration in time. Another attempt follows. Many failures of one daemon: look at the traffic of its link.")
	EventStoreReadsChanged    = newEvent(915, slog.LevelInfo, "reads of the platform store started or stopped", "A daemon reads the store if it is the reader of its data centre or if it gets no current data from other daemons. The event has the age of its list.")
	EventInFlightAtCrash      = newEvent(916, slog.LevelWarn, "request in flight at a crash", "An upstream broke the connection before it had written the answer for longer than a crash takes. The event has the upstream and its incarnation, the number of events that it sent, the shared parts of the prompt, and the fingerprints of the request and its parts. Those that were answered within the last seconds do not become suspects.")
	EventQuarantineChanged    = newEvent(917, slog.LevelWarn, "quarantine changed", "A fingerprint of requests or of a part of prompts became suspect, quarantined or clear. The event has the upstreams that crashed and when and by which daemons that was observed, the number of crashes when the first trial began, the number of trials, and whether this daemon or another one changed the record.")
	EventQuarantineNotStored  = newEvent(918, slog.LevelWarn, "quarantine not stored", "The platform's store could not be read or written. The daemon tries again. Meanwhile the record is known to the daemons that run now.")
	EventUpstreamLimitChanged = newEvent(919, slog.LevelInfo, "limit of an upstream changed", "An upstream named a limit of requests per second from all daemons together, another one, or none any more. The event has the version of the limit and whether this daemon published it.")
	EventGrantFailed          = newEvent(920, slog.LevelWarn, "request for a grant failed", "The daemon that grants the requests to an upstream with a limit did not reply. The request goes to another upstream or is refused. The event has both.")
	EventQuarantineTrial      = newEvent(921, slog.LevelInfo, "trial of quarantined fingerprints", "The request was sent although its fingerprints are quarantined, to find out whether they are sound. Events 916 and 917 with the fingerprints have the result.")
	EventShareFailed          = newEvent(922, slog.LevelInfo, "share not accepted", "Another daemon did not accept the list and the loads from this one in time. It reads the store itself if it gets no current data. The event has the daemon, the duration and whether the share had the whole list.")
	EventStoreRestored        = newEvent(923, slog.LevelWarn, "platform store restored from an older copy", "Records that the store had acknowledged are gone and their offsets are given out again. The daemon reads everything again, keeps the newest configuration that it has, and writes the records of the quarantine again that the copy lacks. The event has the positions before and after.")
	EventUpstreamHeld         = newEvent(924, slog.LevelInfo, "upstream wants no request for some time", "An upstream refused a request and named a time. This daemon sends it no request until then.")
	EventUpstreamLeaving      = newEvent(925, slog.LevelInfo, "upstream states that it is leaving", "An upstream stated in a reply that it is leaving, before the list did. It gets no new requests from this daemon.")
	EventReloaded             = newEvent(910, slog.LevelInfo, "settings reloaded", "The settings file changed or the daemon received SIGHUP.")
)
