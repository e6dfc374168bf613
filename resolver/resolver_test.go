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

// init sets a fixed seed, so that each run tests the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func model(name string, layers int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"name":%q,"version":"1","layers":%d,"window":100,"effect":"repeat","replicas":1,"fenced":false}`, name, layers))
}

func change(id, scope string, base uint64, body json.RawMessage) resolver.Change {
	return resolver.Change{Kind: resolver.KindChange, ID: id, Scope: scope, Base: base, Body: body}
}

// fakeLog is an in-memory log.
type fakeLog struct {
	first   uint64
	entries []cowslipproxy.Entry
}

func (log *fakeLog) add(t require.TestingT, record any) {
	data, err := resolver.Encode(record)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), resolver.MaxRecordBytes)
	log.entries = append(log.entries, cowslipproxy.Entry{Offset: uint64(len(log.entries)), Data: data})
}

func (log *fakeLog) read(from uint64, limit int) cowslipproxy.Batch {
	from = max(from, log.first)
	end := min(from+uint64(limit), uint64(len(log.entries)))
	return cowslipproxy.Batch{First: log.first, Next: end, Entries: log.entries[from:end]}
}

// follow reads to the end of the log and checks that no version decreases.
func follow(t require.TestingT, log *fakeLog, r *resolver.Resolver, limit int) {
	for range 2*len(log.entries) + 3 {
		before := r.ActiveConfiguration()
		batch := log.read(r.Next(), limit)
		_, err := r.Apply(batch, epoch)
		require.NoError(t, err)
		for scope, version := range before.Bases {
			require.GreaterOrEqual(t, r.Version(scope), version, scope)
		}
		require.GreaterOrEqual(t, r.ActiveConfiguration().Offset, before.Offset)
		if len(batch.Entries) == 0 {
			return
		}
	}
	require.Fail(t, "the reader did not reach the end of the log")
}

// publish appends a random change, as one of several operators would: a new change
// with a current, old or future base, with an invalid body, or a deletion, or a
// repeated append of an earlier change.
func publish(t *rapid.T, log *fakeLog, sent *[]resolver.Change) {
	if len(*sent) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0 {
		log.add(t, rapid.SampledFrom(*sent).Draw(t, "sent"))
		return
	}
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	body := model(name, rapid.IntRange(0, 3).Draw(t, "layers")) // 0 is invalid
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		body = nil
	}
	record := change(fmt.Sprint("id", len(*sent)), "model/"+name, rapid.Uint64Range(0, 5).Draw(t, "base"), body)
	*sent = append(*sent, record)
	log.add(t, record)
}

// Guards against readers that disagree: more than one accepted change for a base, a
// change that is applied twice if its append is repeated, and readers that reach
// other verdicts because they started from a snapshot in a truncated log.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, fullReader := &fakeLog{}, &resolver.Resolver{}
		var sent []resolver.Change
		var snapshots [][]resolver.Part
		reference := &referenceModel{versions: map[string]uint64{}, verdicts: map[string]resolver.Verdict{}}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 7).Draw(t, "snapshot") == 0 {
				if parts, err := fullReader.Snapshot(fmt.Sprint("snapshot", step)); err == nil && parts != nil {
					snapshots = append(snapshots, parts)
				}
			}
			if len(snapshots) > 0 && rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
				log.add(t, rapid.SampledFrom(snapshots).Draw(t, "from")[0])
			} else {
				publish(t, log, &sent)
			}
			applyNewest(t, log, fullReader, reference)
		}
		checkLateReader(t, log, fullReader)
	})
}

// referenceModel is a reference implementation of section 5 of the design page, without
// snapshots.
type referenceModel struct {
	versions map[string]uint64
	verdicts map[string]resolver.Verdict
}

// apply returns the verdict on a change and whether this record modifies the state.
func (m *referenceModel) apply(c resolver.Change) (resolver.Verdict, bool) {
	if verdict, ok := m.verdicts[c.ID]; ok {
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

// applyNewest applies the newest record and compares its verdict and the versions with
// the reference.
func applyNewest(t *rapid.T, log *fakeLog, fullReader *resolver.Resolver, reference *referenceModel) {
	var newest resolver.Change
	require.NoError(t, json.Unmarshal(log.entries[len(log.entries)-1].Data, &newest))
	outcomes, err := fullReader.Apply(log.read(fullReader.Next(), 100), epoch)
	require.NoError(t, err)
	require.Len(t, outcomes, 1)
	if newest.Kind == resolver.KindChange {
		verdict, changed := reference.apply(newest)
		require.Equal(t, changed, outcomes[0].Changed)
		got, _ := fullReader.Verdict(newest.ID)
		require.Equal(t, verdict, got)
	}
	require.Equal(t, reference.versions, fullReader.ActiveConfiguration().Bases)
}

// checkLateReader starts a reader in a truncated log and compares it with one that applied
// every record.
func checkLateReader(t *rapid.T, log *fakeLog, fullReader *resolver.Resolver) {
	log.first = uint64(rapid.IntRange(0, len(log.entries)).Draw(t, "first"))
	lateReader := &resolver.Resolver{}
	follow(t, log, lateReader, rapid.IntRange(1, 10).Draw(t, "limit"))
	if lateReader.HasGap() {
		require.False(t, lateReader.Ready())
		parts, err := fullReader.Snapshot("peer")
		require.NoError(t, err)
		require.NoError(t, lateReader.Install(parts, epoch))
	}
	follow(t, log, lateReader, 100)
	want, err := fullReader.Snapshot("same")
	require.NoError(t, err)
	got, err := lateReader.Snapshot("same")
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.Equal(t, fullReader.ActiveConfiguration().Configuration, lateReader.ActiveConfiguration().Configuration)
}

// Guards against a reader in a truncated log that loads an older state from a
// snapshot of a daemon that was paused, or that is ready without any snapshot.
func TestStaleSnapshotIsIgnored(t *testing.T) {
	log, fullReader := &fakeLog{}, &resolver.Resolver{}
	log.add(t, change("x0", "model/a", 0, model("a", 1)))
	follow(t, log, fullReader, 10)
	stale, err := fullReader.Snapshot("stale")
	require.NoError(t, err)
	log.add(t, change("x1", "model/a", 1, model("a", 2)))
	log.add(t, change("x2", "model/a", 2, model("a", 3)))
	log.add(t, stale[0])
	follow(t, log, fullReader, 10)
	log.first = 2
	lateReader := &resolver.Resolver{}
	follow(t, log, lateReader, 10)
	require.False(t, lateReader.Ready())
	require.ErrorIs(t, lateReader.Install(stale, epoch), resolver.ErrStale)
	require.EqualValues(t, 3, fullReader.Version("model/a"))
	fresh, err := fullReader.Snapshot("fresh")
	require.NoError(t, err)
	log.add(t, fresh[0])
	follow(t, log, lateReader, 10)
	require.True(t, lateReader.Ready())
	require.Equal(t, 3, lateReader.ActiveConfiguration().Models[0].Layers)
}

// Guards against a snapshot with wrong content that decreases an active version.
func TestVersionNeverDecreases(t *testing.T) {
	log, r := &fakeLog{}, &resolver.Resolver{}
	log.add(t, change("x0", "model/a", 0, model("a", 1)))
	log.add(t, change("x1", "model/a", 1, model("a", 2)))
	follow(t, log, r, 10)
	entry := resolver.Entry{Scope: "model/a", Version: 1, ID: "x0", Body: model("a", 1)}
	wrong := resolver.Part{Kind: resolver.KindSnapshot, ID: "wrong", At: 9, Parts: 1, Entries: []resolver.Entry{entry}}
	require.ErrorIs(t, r.Install([]resolver.Part{wrong}, epoch), resolver.ErrVersionDecrease)
	require.EqualValues(t, 2, r.Version("model/a"))
}

// Guards against full-size snapshots whose parts exceed 64 KiB, and against a reader
// that loads a snapshot with a missing part.
func TestSnapshotPartsFitIntoRecords(t *testing.T) {
	log, r := &fakeLog{}, &resolver.Resolver{}
	rules := strings.Repeat(`{"method":"GET","path":"/`+strings.Repeat("<", 240)+`","effect":"once"},`, 99)
	for i := range 30 {
		name := fmt.Sprint("s", i)
		body := `{"name":"` + name + `","effect":"repeat","timeout":"1s","rules":[` + strings.TrimSuffix(rules, ",") + `]}`
		log.add(t, change(name, "service/"+name, 0, json.RawMessage(body)))
	}
	follow(t, log, r, 100)
	require.Len(t, r.ActiveConfiguration().Services, 30)
	parts, err := r.Snapshot("big")
	require.NoError(t, err)
	require.Greater(t, len(parts), 10)
	log.first = 30
	for _, part := range parts[1:] {
		log.add(t, part)
	}
	lateReader := &resolver.Resolver{}
	follow(t, log, lateReader, 3)
	require.False(t, lateReader.Ready())
	log.add(t, parts[0])
	follow(t, log, lateReader, 3)
	require.True(t, lateReader.Ready())
	require.Equal(t, r.ActiveConfiguration().Services, lateReader.ActiveConfiguration().Services)
}

// Guards against a reader that accepts invalid records or stops at one.
func TestInvalidRecordsAreRejected(t *testing.T) {
	log, r := &fakeLog{}, &resolver.Resolver{}
	log.entries = append(log.entries, cowslipproxy.Entry{Data: []byte("{")})
	log.add(t, map[string]any{"kind": "change", "id": "unknown-field", "scope": "model/a", "base": 0, "extra": 1})
	log.add(t, change("wrong-name", "model/b", 0, model("a", 1)))
	log.add(t, change("wrong-scope", "cluster/b", 0, model("b", 1)))
	log.add(t, change("wrong-body", "model/a", 0, model("a", -1)))
	log.add(t, change("good", "model/a", 0, model("a", 1)))
	follow(t, log, r, 10)
	for _, id := range []string{"unknown-field", "wrong-name", "wrong-scope", "wrong-body"} {
		verdict, _ := r.Verdict(id)
		require.Equal(t, resolver.VerdictInvalid, verdict, id)
	}
	require.Equal(t, map[string]uint64{"model/a": 1}, r.ActiveConfiguration().Bases)
}

// BenchmarkApply measures the cost of an accepted change, which must not grow with
// the number of scopes.
func BenchmarkApply(b *testing.B) {
	for _, scopes := range []int{10, 100, 3700} {
		b.Run(fmt.Sprint("scopes=", scopes), func(b *testing.B) {
			log, r := &fakeLog{}, &resolver.Resolver{}
			for i := range scopes {
				name := fmt.Sprint("m", i)
				log.add(b, change(fmt.Sprint("first", i), "model/"+name, 0, model(name, 1)))
			}
			follow(b, log, r, 1000)
			for i := range b.N {
				name := fmt.Sprint("m", i%scopes)
				log.add(b, change(fmt.Sprint("id", i), "model/"+name, uint64(1+i/scopes), model(name, 2)))
			}
			b.ResetTimer()
			_, err := r.Apply(log.read(r.Next(), b.N), epoch)
			require.NoError(b, err)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns/change")
		})
	}
}
