package resolver_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/resolver"
)

// The seed is fixed, so that each run checks the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func model(name string, layers int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"name":%q,"version":"1","layers":%d,"window":100,"effect":"repeat","replicas":1,"fenced":false}`, name, layers))
}

func change(id, scope string, base uint64, body json.RawMessage) resolver.Change {
	return resolver.Change{Kind: resolver.KindChange, ID: id, Scope: scope, Base: base, Body: body}
}

// journal is a log in memory.
type journal struct {
	first   uint64
	entries []cowslipproxy.Entry
}

func (j *journal) add(t require.TestingT, record any) {
	data, err := resolver.Encode(record)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), resolver.MaxRecord)
	j.entries = append(j.entries, cowslipproxy.Entry{Offset: uint64(len(j.entries)), Data: data})
}

func (j *journal) read(from uint64, limit int) cowslipproxy.Batch {
	from = max(from, j.first)
	end := min(from+uint64(limit), uint64(len(j.entries)))
	return cowslipproxy.Batch{First: j.first, Next: end, Entries: j.entries[from:end]}
}

// follow reads to the end of the log and checks that no version decreases on the way.
func follow(t require.TestingT, j *journal, r *resolver.Resolver, limit int) {
	for range 2*len(j.entries) + 3 {
		before := r.Settled()
		batch := j.read(r.Next(), limit)
		_, err := r.Fold(batch, start)
		require.NoError(t, err)
		for scope, version := range before.Bases {
			require.GreaterOrEqual(t, r.Version(scope), version, scope)
		}
		require.GreaterOrEqual(t, r.Settled().Offset, before.Offset)
		if len(batch.Entries) == 0 {
			return
		}
	}
	require.Fail(t, "reader never reached the end of the log")
}

// publish adds a record of one of several operators: fresh changes on right, old
// and future bases, bodies that are not valid, deletions and resends.
func publish(t *rapid.T, j *journal, sent *[]resolver.Change) {
	if len(*sent) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0 {
		j.add(t, rapid.SampledFrom(*sent).Draw(t, "sent"))
		return
	}
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	body := model(name, rapid.IntRange(0, 3).Draw(t, "layers")) // 0 is not valid
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		body = nil
	}
	record := change(fmt.Sprint("id", len(*sent)), "model/"+name, rapid.Uint64Range(0, 5).Draw(t, "base"), body)
	*sent = append(*sent, record)
	j.add(t, record)
}

// Guards against readers that disagree: more than one winner on a base, a change
// that counts twice when its append is repeated, and readers that see other
// verdicts because they started from a snapshot in a truncated log.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, full := &journal{}, &resolver.Resolver{}
		var sent []resolver.Change
		var snapshots [][]resolver.Part
		plain := &rules{versions: map[string]uint64{}, verdicts: map[string]resolver.Verdict{}}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 7).Draw(t, "snapshot") == 0 {
				if parts, err := full.Snapshot(fmt.Sprint("snapshot", step)); err == nil && parts != nil {
					snapshots = append(snapshots, parts)
				}
			}
			if len(snapshots) > 0 && rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
				j.add(t, rapid.SampledFrom(snapshots).Draw(t, "from")[0])
			} else {
				publish(t, j, &sent)
			}
			foldOne(t, j, full, plain)
		}
		checkLate(t, j, full)
	})
}

// rules is section 5 of the design page in its plainest form, without snapshots.
type rules struct {
	versions map[string]uint64
	verdicts map[string]resolver.Verdict
}

// fold returns the verdict on a record and whether it comes into force.
func (m *rules) fold(c resolver.Change) (resolver.Verdict, bool) {
	if verdict, seen := m.verdicts[c.ID]; seen {
		return verdict, false
	}
	verdict := resolver.VerdictConflict
	if strings.Contains(string(c.Body), `"layers":0`) {
		verdict = resolver.VerdictInvalid
	} else if c.Base == m.versions[c.Scope] {
		verdict = resolver.VerdictAccepted
		m.versions[c.Scope]++
	}
	m.verdicts[c.ID] = verdict
	return verdict, verdict == resolver.VerdictAccepted
}

// foldOne folds the newest record and compares the verdict and versions with the rules.
func foldOne(t *rapid.T, j *journal, full *resolver.Resolver, plain *rules) {
	var newest resolver.Change
	require.NoError(t, json.Unmarshal(j.entries[len(j.entries)-1].Data, &newest))
	outcomes, err := full.Fold(j.read(full.Next(), 100), start)
	require.NoError(t, err)
	require.Len(t, outcomes, 1)
	if newest.Kind == resolver.KindChange {
		verdict, changed := plain.fold(newest)
		require.Equal(t, changed, outcomes[0].Changed)
		got, _ := full.Verdict(newest.ID)
		require.Equal(t, verdict, got)
	}
	require.Equal(t, plain.versions, full.Settled().Bases)
}

// checkLate starts a reader in the truncated log and compares it with one that folded everything.
func checkLate(t *rapid.T, j *journal, full *resolver.Resolver) {
	j.first = uint64(rapid.IntRange(0, len(j.entries)).Draw(t, "first"))
	late := &resolver.Resolver{}
	follow(t, j, late, rapid.IntRange(1, 10).Draw(t, "limit"))
	if late.Lost() {
		require.False(t, late.Ready())
		parts, err := full.Snapshot("peer")
		require.NoError(t, err)
		require.NoError(t, late.Install(parts, start))
	}
	follow(t, j, late, 100)
	want, err := full.Snapshot("same")
	require.NoError(t, err)
	got, err := late.Snapshot("same")
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.Equal(t, full.Settled().Configuration, late.Settled().Configuration)
}

// Guards against a reader in a truncated log that takes an older state from a
// snapshot of a daemon that was paused, or claims to be ready without one.
func TestStaleSnapshotIsIgnored(t *testing.T) {
	j, full := &journal{}, &resolver.Resolver{}
	j.add(t, change("x0", "model/a", 0, model("a", 1)))
	follow(t, j, full, 10)
	stale, err := full.Snapshot("stale")
	require.NoError(t, err)
	j.add(t, change("x1", "model/a", 1, model("a", 2)))
	j.add(t, change("x2", "model/a", 2, model("a", 3)))
	j.add(t, stale[0])
	follow(t, j, full, 10)
	j.first = 2
	late := &resolver.Resolver{}
	follow(t, j, late, 10)
	require.False(t, late.Ready())
	require.ErrorIs(t, late.Install(stale, start), resolver.ErrStale)
	require.EqualValues(t, 3, full.Version("model/a"))
	fresh, err := full.Snapshot("fresh")
	require.NoError(t, err)
	j.add(t, fresh[0])
	follow(t, j, late, 10)
	require.True(t, late.Ready())
	require.Equal(t, 3, late.Settled().Models[0].Layers)
}

// Guards against a snapshot with wrong content taking a version in force back.
func TestVersionNeverDecreases(t *testing.T) {
	j, r := &journal{}, &resolver.Resolver{}
	j.add(t, change("x0", "model/a", 0, model("a", 1)))
	j.add(t, change("x1", "model/a", 1, model("a", 2)))
	follow(t, j, r, 10)
	entry := resolver.Entry{Scope: "model/a", Version: 1, ID: "x0", Body: model("a", 1)}
	wrong := resolver.Part{Kind: resolver.KindSnapshot, ID: "wrong", At: 9, Parts: 1, Entries: []resolver.Entry{entry}}
	require.ErrorIs(t, r.Install([]resolver.Part{wrong}, start), resolver.ErrDecrease)
	require.EqualValues(t, 2, r.Version("model/a"))
}

// Guards against snapshots at full size with parts beyond 64 KiB, and against a
// reader that takes a snapshot with a part missing.
func TestSnapshotParts(t *testing.T) {
	j, r := &journal{}, &resolver.Resolver{}
	rules := strings.Repeat(`{"method":"GET","path":"/`+strings.Repeat("<", 240)+`","effect":"once"},`, 99)
	for i := range 30 {
		name := fmt.Sprint("s", i)
		body := `{"name":"` + name + `","effect":"repeat","timeout":"1s","rules":[` + strings.TrimSuffix(rules, ",") + `]}`
		j.add(t, change(name, "service/"+name, 0, json.RawMessage(body)))
	}
	follow(t, j, r, 100)
	require.Len(t, r.Settled().Services, 30)
	parts, err := r.Snapshot("big")
	require.NoError(t, err)
	require.Greater(t, len(parts), 10)
	j.first = 30
	for _, part := range parts[1:] {
		j.add(t, part)
	}
	late := &resolver.Resolver{}
	follow(t, j, late, 3)
	require.False(t, late.Ready())
	j.add(t, parts[0])
	follow(t, j, late, 3)
	require.True(t, late.Ready())
	require.Equal(t, r.Settled().Services, late.Settled().Services)
}

// Guards against bad records that stop a reader or come into force.
func TestBadRecords(t *testing.T) {
	j, r := &journal{}, &resolver.Resolver{}
	j.entries = append(j.entries, cowslipproxy.Entry{Data: []byte("{")})
	j.add(t, map[string]any{"kind": "change", "id": "unknown-field", "scope": "model/a", "base": 0, "extra": 1})
	j.add(t, change("wrong-name", "model/b", 0, model("a", 1)))
	j.add(t, change("wrong-scope", "cluster/b", 0, model("b", 1)))
	j.add(t, change("wrong-body", "model/a", 0, model("a", -1)))
	j.add(t, change("good", "model/a", 0, model("a", 1)))
	follow(t, j, r, 10)
	for _, id := range []string{"unknown-field", "wrong-name", "wrong-scope", "wrong-body"} {
		verdict, _ := r.Verdict(id)
		require.Equal(t, resolver.VerdictInvalid, verdict, id)
	}
	require.Equal(t, map[string]uint64{"model/a": 1}, r.Settled().Bases)
}

// Measures the cost of one accepted change; it must not grow with the number of scopes.
func BenchmarkFold(b *testing.B) {
	for _, scopes := range []int{10, 100, 3700} {
		b.Run(fmt.Sprint("scopes=", scopes), func(b *testing.B) {
			j, r := &journal{}, &resolver.Resolver{}
			for i := range scopes {
				name := fmt.Sprint("m", i)
				j.add(b, change(fmt.Sprint("first", i), "model/"+name, 0, model(name, 1)))
			}
			follow(b, j, r, 1000)
			for i := range b.N {
				name := fmt.Sprint("m", i%scopes)
				j.add(b, change(fmt.Sprint("id", i), "model/"+name, uint64(1+i/scopes), model(name, 2)))
			}
			b.ResetTimer()
			_, err := r.Fold(j.read(r.Next(), b.N), start)
			require.NoError(b, err)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns/change")
		})
	}
}
