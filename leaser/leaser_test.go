package leaser_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/leaser"
)

const ttl = 9 * time.Second

var epoch = time.Unix(1_700_000_000, 0)

// Fixes the seed of rapid, so that the results are reproducible. Only rare
// interleavings could lead to two holders at once, so many checks are run.
func init() {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "5000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// stream is a log stream with limited retention.
type stream struct {
	base    uint64 // offset of the first record; it grows when the log is restored from a copy
	first   uint64
	records []leaser.Record
}

const eraSize = 1 << 40 // difference of the offsets before and after the log was restored

// restore loses the newest records and gives the others new offsets.
func (s *stream) restore(lost int) {
	s.records = append([]leaser.Record(nil), s.records[:max(len(s.records)-lost, int(s.first-s.base))]...)
	s.base, s.first = s.base+eraSize, s.first+eraSize
}

func (s *stream) append(r leaser.Record) { s.records = append(s.records, r) }

// batch returns a limited number of records from an offset on.
func (s *stream) batch(t require.TestingT, from uint64, limit int) cowslipproxy.Batch {
	from = max(from, s.first)
	b := cowslipproxy.Batch{First: s.first, Next: min(from+uint64(limit), s.base+uint64(len(s.records)))}
	for offset := from; offset < b.Next; offset++ {
		data, err := json.Marshal(s.records[offset-s.base])
		require.NoError(t, err)
		b.Entries = append(b.Entries, cowslipproxy.Entry{Offset: offset, Data: data})
	}
	return b
}

// claimant is a daemon that reads the log with a delay and may be paused.
type claimant struct {
	*leaser.Leaser
	next uint64
}

type model struct {
	t         *rapid.T
	now       time.Time
	log       stream
	claimants []*claimant
	inFlight  []leaser.Record // appends in flight, each of which may take effect more than once
	lastID    int
	fence     uint64
	held      bool
}

func (m *model) start() *claimant {
	m.lastID++
	return &claimant{Leaser: &leaser.Leaser{Name: "placement", Self: fmt.Sprint("daemon-", m.lastID), TTL: ttl}}
}

func (m *model) pickClaimant(t *rapid.T) *claimant {
	return m.claimants[rapid.IntRange(0, len(m.claimants)-1).Draw(t, "claimant")]
}

func (m *model) claim(t *rapid.T) {
	m.lastID++
	if record, ok := m.pickClaimant(t).Claim(m.now, fmt.Sprint("id-", m.lastID)); ok {
		m.inFlight = append(m.inFlight, record)
	}
}

func (m *model) release(t *rapid.T) {
	m.lastID++
	if record, ok := m.pickClaimant(t).Release(m.now, fmt.Sprint("id-", m.lastID)); ok {
		m.inFlight = append(m.inFlight, record)
	}
}

// deliver makes an append take effect. The append may be retried later, as if its
// response was lost.
func (m *model) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "append")
	m.log.append(m.inFlight[i])
	if !rapid.Bool().Draw(t, "repeat") {
		m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	}
}

func (m *model) read(t *rapid.T) {
	c := m.pickClaimant(t)
	batch := m.log.batch(t, c.next, rapid.IntRange(1, 6).Draw(t, "limit"))
	c.ApplyBatch(m.now, batch)
	c.next = max(c.next, batch.Next)
}

func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 2, 3, 9}).Draw(t, "seconds")) * time.Second)
}

func (m *model) restart(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
		m.claimants[rapid.IntRange(0, len(m.claimants)-1).Draw(t, "claimant")] = m.start()
	}
}

// truncate deletes old records, including those of the current lease.
func (m *model) truncate(*rapid.T) {
	if n := uint64(len(m.log.records)); n > 1 {
		m.log.first = max(m.log.first, m.log.base+n-1)
	}
}

// restore replaces the log by an older copy, possibly without the current lease.
func (m *model) restore(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
		m.log.restore(rapid.IntRange(0, 3).Draw(t, "lost"))
	}
}

func (m *model) check(t *rapid.T) {
	var holders []string
	for _, c := range m.claimants {
		fence, ok := c.Holds(m.now)
		if !ok {
			continue
		}
		holders = append(holders, c.Self)
		if fence < m.fence {
			t.Fatalf("%s holds the lease with fencing token %d, lower than the earlier %d", c.Self, fence, m.fence)
		}
		m.fence, m.held = fence, true
	}
	if len(holders) > 1 {
		t.Fatalf("%v hold the lease at the same time", holders)
	}
}

// Guards against two holders at the same time and against a decreasing fencing
// token, under any interleaving of pauses, delayed reads, repeated and delayed
// appends, restarts, truncation and restores from an older copy.
func TestAtMostOneHolder(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: epoch}
		for range 3 {
			m.claimants = append(m.claimants, m.start())
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.claim, "claim more": m.claim, "release": m.release, "deliver": m.deliver, "deliver more": m.deliver,
			"read": m.read, "read more": m.read, "read most": m.read, "wait": m.wait,
			"restart": m.restart, "truncate": m.truncate, "restore": m.restore, "": m.check,
		})
		if m.held {
			held++
		}
	})
	require.Greater(t, held, 1000, "number of runs in which the lease was held")
}

// Guards against a holder that still gives orders after a pause that outlasted
// its lease, and against a successor that claims before the lease has expired.
func TestPausedHolderLosesLease(t *testing.T) {
	log := &stream{}
	a := &leaser.Leaser{Name: "placement", Self: "a", TTL: ttl}
	b := &leaser.Leaser{Name: "placement", Self: "b", TTL: ttl}
	a.ApplyBatch(epoch, log.batch(t, 0, 9))
	record, ok := a.Claim(epoch, "one")
	require.True(t, ok)
	_, ok = a.Claim(epoch, "one")
	require.False(t, ok, "a reused id would give the lease a later start")
	log.append(record)
	read := epoch.Add(2 * time.Second) // the append took 2 s
	a.ApplyBatch(read, log.batch(t, 0, 9))
	b.ApplyBatch(read, log.batch(t, 0, 9))
	_, ok = a.Holds(read)
	require.True(t, ok)
	_, ok = a.Holds(epoch.Add(ttl))
	require.False(t, ok, "the lease starts before the append")
	_, ok = b.Claim(read.Add(ttl-time.Millisecond), "two")
	require.False(t, ok)
	require.Equal(t, read.Add(ttl), b.NextClaim(read))
	_, ok = b.Claim(read.Add(ttl), "two")
	require.True(t, ok)
}

// Guards against a daemon that still holds the lease after Release but before it
// reads the release record, and against a successor that waits after it read one.
func TestReleaseEndsLeaseAtOnce(t *testing.T) {
	log := &stream{}
	a := &leaser.Leaser{Name: "placement", Self: "a", TTL: ttl}
	b := &leaser.Leaser{Name: "placement", Self: "b", TTL: ttl}
	a.ApplyBatch(epoch, log.batch(t, 0, 9))
	record, _ := a.Claim(epoch, "one")
	log.append(record)
	a.ApplyBatch(epoch, log.batch(t, 0, 9))
	renewal, _ := a.Claim(epoch, "two")
	release, ok := a.Release(epoch, "three")
	require.True(t, ok)
	_, ok = a.Holds(epoch)
	require.False(t, ok)
	log.append(renewal) // takes effect late, but before the release
	a.ApplyBatch(epoch, log.batch(t, 1, 9))
	_, ok = a.Holds(epoch)
	require.False(t, ok)

	log = &stream{records: []leaser.Record{record, release}}
	b.ApplyBatch(epoch, log.batch(t, 0, 9))
	_, ok = b.Claim(epoch, "four")
	require.True(t, ok)
}

// Guards against a lease that nobody can renew or claim because a restored log gives out lower offsets.
func TestHolderRenewsLeaseInRestoredLog(t *testing.T) {
	log := &stream{}
	a := &leaser.Leaser{Name: "placement", Self: "a", TTL: ttl}
	b := &leaser.Leaser{Name: "placement", Self: "b", TTL: ttl}
	for i := range 4 {
		a.ApplyBatch(epoch, log.batch(t, a.Offset(), 9))
		record, ok := a.Claim(epoch, fmt.Sprint("id-", i))
		require.True(t, ok)
		log.append(record)
	}
	a.ApplyBatch(epoch, log.batch(t, a.Offset(), 9))
	b.ApplyBatch(epoch, log.batch(t, 0, 9))
	log.restore(3)
	restored := epoch.Add(time.Second)
	a.ApplyBatch(restored, log.batch(t, a.Offset(), 9))
	b.ApplyBatch(restored, log.batch(t, b.Offset(), 9))
	_, ok := b.Claim(restored, "early")
	require.False(t, ok, "the lost records may be those of a claim")
	record, ok := a.Claim(restored, "again")
	require.True(t, ok)
	log.append(record)
	a.ApplyBatch(restored, log.batch(t, a.Offset(), 9))
	_, ok = a.Holds(restored)
	require.True(t, ok)
	b.ApplyBatch(restored, log.batch(t, b.Offset(), 9))
	_, ok = b.Claim(restored.Add(ttl), "late")
	require.True(t, ok)
}

// Guards against readers that disagree on whether a record is valid because one
// of them started after truncated records.
func TestReadersAgree(t *testing.T) {
	claim := func(holder, id string, base uint64) leaser.Record {
		return leaser.Record{Kind: leaser.KindClaim, ID: id, Name: "placement", Holder: holder, Base: base, TTL: cowslipproxy.Duration(ttl)}
	}
	log := &stream{}
	a := &leaser.Leaser{Name: "placement", Self: "a", TTL: ttl}
	a.ApplyBatch(epoch, log.batch(t, 0, 9))
	first, _ := a.Claim(epoch, "one")
	log.append(first)
	a.ApplyBatch(epoch, log.batch(t, 0, 9))
	renewal, _ := a.Claim(epoch.Add(time.Second), "two")
	log.append(claim("b", "three", 0)) // invalid, but not yet read by the daemon that renews
	log.append(renewal)
	a.ApplyBatch(epoch.Add(2*time.Second), log.batch(t, 1, 9))
	fence, ok := a.Holds(epoch.Add(2 * time.Second))
	require.True(t, ok)
	require.Zero(t, fence, "a reader that starts at offset 1 would reject the renewal")

	log.first = 3
	c := &leaser.Leaser{Name: "placement", Self: "c", TTL: ttl}
	c.ApplyBatch(epoch.Add(2*time.Second), log.batch(t, 0, 9))
	_, ok = c.Claim(epoch.Add(3*time.Second), "four")
	require.False(t, ok, "a truncated record may be a valid claim")
}

// Guards against accepting records with an invalid field, and against errors that
// don't name the field.
func TestDecodeNamesInvalidField(t *testing.T) {
	for text, want := range map[string]string{
		`{"kind":"take","id":"1","name":"n","holder":"a","base":0,"length":"9s"}`:   `kind: "take" is not claim or release`,
		`{"kind":"claim","id":"1","name":"n","holder":"","base":0,"length":"9s"}`:   "holder: missing",
		`{"kind":"claim","id":"1","name":"n","holder":"a","base":0,"length":"2h"}`:  "length: 2h0m0s is not positive or exceeds",
		`{"kind":"claim","id":"1","name":"n","holder":"a","bass":0,"length":"10s"}`: `unknown field "bass"`,
	} {
		_, err := leaser.Decode([]byte(text))
		require.ErrorContains(t, err, want)
	}
}
