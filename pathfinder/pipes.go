package pathfinder

import (
	"slices"
	"time"
)

const (
	// lateLimit is how many requests in a row must get their events late before
	// the pipes that they crossed are avoided. A single one may have other causes.
	lateLimit = 2
	// shortAvoid and longAvoid bound how long a pipe is avoided before a request
	// tries it again; the time doubles while those are late too.
	shortAvoid = 2 * time.Second
	longAvoid  = 8 * time.Second
	// slowCrossing is the cost of crossing a pipe that is avoided, in milliseconds:
	// more than any way around it.
	slowCrossing = 1e4
	// otherWeight is the weight of a request on another path in the part of them
	// that is late, and otherLimit the part above which a pipe isn't avoided: then
	// engines are overloaded, and need all pipes.
	otherWeight = 0.2
	otherLimit  = 0.3
)

// pipe is what requests met that crossed between two data centres.
type pipe struct {
	lates int           // requests in a row that were late
	other float64       // part of the requests on other paths that were late lately
	until time.Time     // until when it is avoided
	span  time.Duration // that it was last avoided for
}

// late counts a late request and reports whether the pipe is avoided from now on.
func (p *pipe) late(now time.Time) bool {
	if p.lates++; p.lates < lateLimit || p.other > otherLimit || now.Before(p.until) {
		return false
	}
	p.span = min(max(2*p.span, shortAvoid), longAvoid)
	p.until = now.Add(p.span)
	return true
}

// Avoidance is the decision to avoid a pipe.
type Avoidance struct {
	Centres [2]string     // data centres that it connects
	Lates   int           // requests in a row that were late
	Other   float64       // part of the requests on other paths that were late
	Span    time.Duration // for which it is avoided
}

// crossed returns the pipes that steps cross, made known where they aren't yet.
func (f *Finder) crossed(steps []step) (found []*pipe) {
	for i := 1; i < len(steps); i++ {
		a, b := steps[i-1].engine.Centre, steps[i].engine.Centre
		if a == b {
			continue
		}
		if f.met == nil {
			f.met = map[pair]*pipe{}
		}
		known := f.met[pairOf(a, b)]
		if known == nil {
			known = &pipe{other: 1}
			f.met[pairOf(a, b)] = known
		}
		found = append(found, known)
	}
	return found
}

// Late takes in that a request on a path gets events late though all engines of
// the path live. It reports whether the path crosses a pipe that is avoided now,
// and which pipes are avoided from now on.
func (f *Finder) Late(now time.Time, path *Path) (avoided bool, begun []Avoidance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	crossed := f.crossed(path.steps)
	for between, known := range f.met {
		if !slices.Contains(crossed, known) {
			known.other += otherWeight * (1 - known.other)
			continue
		}
		if known.late(now) {
			begun = append(begun, Avoidance{[2]string{between.a, between.b}, known.lates, known.other, known.span})
		}
		avoided = avoided || now.Before(known.until)
	}
	return avoided, begun
}

// InTime takes in that the first event of a request on a path came in time. The
// engines sent each other the whole prompt.
func (f *Finder) InTime(now time.Time, path *Path) {
	f.mu.Lock()
	defer f.mu.Unlock()
	crossed := f.crossed(path.steps)
	for _, known := range f.met {
		if !slices.Contains(crossed, known) {
			known.other -= otherWeight * known.other
			continue
		}
		if !now.Before(known.until) {
			known.lates, known.span = 0, 0
		}
	}
}

// crossesSlow reports whether steps cross a pipe that is avoided.
func (f *Finder) crossesSlow(now time.Time, steps []step) bool {
	for i := 1; i < len(steps); i++ {
		if f.isSlow(now, steps[i-1].engine.Centre, steps[i].engine.Centre) {
			return true
		}
	}
	return false
}

// isSlow reports whether the pipe between two data centres is avoided.
func (f *Finder) isSlow(now time.Time, a, b string) bool {
	known := f.met[pairOf(a, b)]
	return known != nil && now.Before(known.until)
}
