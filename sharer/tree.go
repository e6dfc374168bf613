package sharer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

// fanOut is the mean number of daemons to which one daemon passes shares on.
const fanOut = 8

// Tree determines through which daemons the contents of the store reach the daemons of
// a data centre. Its root reads the store. Every other daemon gets shares from its
// parent, so that the traffic of a daemon does not grow with the data centre. It is
// immutable after NewTree.
type Tree struct {
	levels   [][]cowslipproxy.Member // daemons by distance from the root
	parents  map[string]cowslipproxy.Member
	children map[string][]cowslipproxy.Member
}

// NewTree returns the tree of a data centre. Daemons with faster links are closer to
// the root. A daemon that starts or stops has no children. Daemons choose their parents
// by rendezvous hashing, so that a daemon that comes or goes changes few other parents.
func NewTree(members []cowslipproxy.Member, centre string) Tree {
	inner, leaves := rank(members, centre)
	tree := Tree{parents: map[string]cowslipproxy.Member{}, children: map[string][]cowslipproxy.Member{}}
	for size := 1; len(inner) > 0; size *= fanOut {
		count := min(size, len(inner))
		tree.addLevel(inner[:count])
		inner = inner[count:]
	}
	if len(tree.levels) == 0 {
		return tree
	}
	// Leaves join the last level, whose parents have all their children already in use.
	tree.attach(leaves, tree.levels[max(0, len(tree.levels)-2)])
	return tree
}

// rank returns the daemons of a data centre that may have children, by descending
// speed of their links, and those that may not. The order of daemons with equal links
// is a hash order, so that data centres with the same names differ.
func rank(members []cowslipproxy.Member, centre string) (inner, leaves []cowslipproxy.Member) {
	hashes := map[string]uint64{}
	for _, member := range members {
		switch {
		case member.Centre != centre || member.Down:
		case member.Stopping || member.Starting:
			leaves = append(leaves, member)
		default:
			inner = append(inner, member)
			hashes[member.Name] = xxhash.Sum64String("reader" + member.Name)
		}
	}
	slices.SortFunc(inner, func(a, b cowslipproxy.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hashes[a.Name], hashes[b.Name]))
	})
	return inner, leaves
}

// addLevel appends a level whose daemons choose their parents in the level before.
func (t *Tree) addLevel(level []cowslipproxy.Member) {
	if len(t.levels) > 0 {
		t.attach(level, t.levels[len(t.levels)-1])
	}
	t.levels = append(t.levels, level)
}

func (t *Tree) attach(level, parents []cowslipproxy.Member) {
	for _, member := range level {
		parent := slices.MaxFunc(parents, func(a, b cowslipproxy.Member) int {
			return cmp.Compare(pairHash(a, member), pairHash(b, member))
		})
		t.parents[member.Name] = parent
		t.children[parent.Name] = append(t.children[parent.Name], member)
	}
}

func pairHash(parent, child cowslipproxy.Member) uint64 {
	return xxhash.Sum64String(parent.Name + " " + child.Name)
}

// Reader returns the daemon that reads the store on behalf of the data centre.
func (t Tree) Reader() (cowslipproxy.Member, bool) {
	if len(t.levels) == 0 {
		return cowslipproxy.Member{}, false
	}
	return t.levels[0][0], true
}

// Parent returns the daemon from which a daemon gets shares.
func (t Tree) Parent(name string) (cowslipproxy.Member, bool) {
	parent, ok := t.parents[name]
	return parent, ok
}

// Children returns the daemons to which a daemon passes shares on.
func (t Tree) Children(name string) []cowslipproxy.Member { return t.children[name] }

// Readers returns the readers of all data centres.
func Readers(members []cowslipproxy.Member) (readers []cowslipproxy.Member) {
	centres := map[string]bool{}
	for _, member := range members {
		if centres[member.Centre] {
			continue
		}
		centres[member.Centre] = true
		if inner, _ := rank(members, member.Centre); len(inner) > 0 {
			readers = append(readers, inner[0])
		}
	}
	return readers
}
