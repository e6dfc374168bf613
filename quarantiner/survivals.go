package quarantiner

import "time"

const (
	// survivalWindow is how long an answer protects the fingerprints of its request. It
	// is long enough for a part that many requests share to be answered again while
	// several upstreams are down.
	survivalWindow = 5 * time.Second
	// maxSurvivals bounds the fingerprints that are remembered, to about 3 MB. At 60 requests a
	// second, each with 300 fingerprints that no other one has, half of them are of the last 0.9 s.
	maxSurvivals = 32768
)

// survivals holds when answers were last written on fingerprints, by the local clock. It
// rotates two maps, so that old entries are dropped without a search.
type survivals struct {
	current, previous map[RequestFingerprint]time.Time
	since             time.Time // start of current
}

func (s *survivals) add(now time.Time, fp RequestFingerprint) {
	if s.current == nil || now.Sub(s.since) > survivalWindow || len(s.current) >= maxSurvivals/2 {
		s.current, s.previous, s.since = map[RequestFingerprint]time.Time{}, s.current, now
	}
	s.current[fp] = now
}

// recent reports whether an answer was written on a fingerprint within survivalWindow.
func (s *survivals) recent(now time.Time, fp RequestFingerprint) bool {
	at, ok := s.current[fp]
	if !ok {
		at, ok = s.previous[fp]
	}
	return ok && now.Sub(at) <= survivalWindow
}
