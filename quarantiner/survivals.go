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
	// maxSharedSurvivals bounds the parts of several requests that are remembered, to about 1.5 MB. They are
	// few, so that most are remembered while the daemon runs.
	maxSharedSurvivals = 16384
)

// rotation holds the times of the last fingerprints that were added. It rotates two maps, so that old
// entries are dropped without a search.
type rotation struct {
	limit             int
	current, previous map[RequestFingerprint]time.Time
}

func (r *rotation) add(now time.Time, fp RequestFingerprint) {
	if r.current == nil || len(r.current) >= r.limit/2 {
		r.current, r.previous = map[RequestFingerprint]time.Time{}, r.current
	}
	r.current[fp] = now
}

func (r *rotation) last(fp RequestFingerprint) (at time.Time, ok bool) {
	if at, ok = r.current[fp]; !ok {
		at, ok = r.previous[fp]
	}
	return at, ok
}

// survivals holds when answers were last written on fingerprints, by the local clock. Parts of several
// requests are remembered longer than the others, which are many more.
type survivals struct {
	all, shared rotation
}

// add records an answer on fingerprints. The first one is that of the whole request.
func (s *survivals) add(now time.Time, fingerprints ...RequestFingerprint) {
	s.all.limit, s.shared.limit = maxSurvivals, maxSharedSurvivals
	isAgain := !fingerprints[0].Part && s.isKnown(fingerprints[0])
	for _, fp := range fingerprints {
		if fp.Part && !isAgain && s.isKnown(fp) {
			s.shared.add(now, fp)
		}
		s.all.add(now, fp)
	}
}

// recent reports whether an answer was written on a fingerprint within survivalWindow.
func (s *survivals) recent(now time.Time, fp RequestFingerprint) bool {
	at, ok := s.all.last(fp)
	if !ok {
		at, ok = s.shared.last(fp)
	}
	return ok && now.Sub(at) <= survivalWindow
}

// isKnown reports whether an answer was ever written on a fingerprint, as far as it is remembered.
func (s *survivals) isKnown(fp RequestFingerprint) bool {
	if _, ok := s.all.last(fp); ok {
		return true
	}
	_, ok := s.shared.last(fp)
	return ok
}
