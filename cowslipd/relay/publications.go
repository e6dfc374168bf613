package relay

import "github.com/cowslipproxy/cowslipproxy/quarantiner"

// publications tracks which item of this daemon has the latest record that it published of each
// fingerprint, so that an item without such a record can be withdrawn.
type publications struct {
	items   map[quarantiner.RequestFingerprint]string // key of the item
	members map[string]int                            // number of fingerprints, by key of their item
}

func (p *publications) build() {
	p.items, p.members = map[quarantiner.RequestFingerprint]string{}, map[string]int{}
}

// add records that an item with the records of some fingerprints was published. It returns the keys
// of items that are obsolete since then.
func (p *publications) add(key string, members []quarantiner.RequestFingerprint) (obsolete []string) {
	for _, fp := range members {
		if p.items[fp] == key {
			continue
		}
		if former := p.remove(fp); former != "" {
			obsolete = append(obsolete, former)
		}
		p.items[fp] = key
		p.members[key]++
	}
	return obsolete
}

// remove records that a fingerprint has expired. It returns the key of its item if the item is
// obsolete since then.
func (p *publications) remove(fp quarantiner.RequestFingerprint) (obsolete string) {
	key, ok := p.items[fp]
	if !ok {
		return ""
	}
	delete(p.items, fp)
	if p.members[key]--; p.members[key] > 0 {
		return ""
	}
	delete(p.members, key)
	return key
}
