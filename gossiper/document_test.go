package gossiper_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
)

// holder is a daemon that serves a document.
type holder struct {
	*gossiper.Gossiper
	address  string
	segments atomic.Int64 // segments served so far
	limit    atomic.Int64 // segments after which no more are served
}

func launchHolder(t *testing.T, name string, document gossiper.Document) *holder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	h := &holder{address: address.String()}
	h.limit.Store(1 << 30)
	h.Gossiper = &gossiper.Gossiper{
		Self:     cowslipproxy.Owner{Name: name, Incarnation: 1},
		Hello:    cowslipproxy.Hello{Caller: address, Peer: address, Centre: "a"},
		Listener: listener,
		Document: func() (gossiper.Document, bool) {
			return document, len(document.Data) > 0 && h.segments.Add(1) <= h.limit.Load()
		},
	}
	ctx := t.Context()
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	t.Cleanup(func() { require.NoError(t, <-done) })
	return h
}

func testData(size int) []byte {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(i * i >> 7)
	}
	return data
}

// Guards against a fetch that starts again from the first byte after each failure.
func TestInterruptedFetchContinuesAtAnotherDaemon(t *testing.T) {
	document := gossiper.NewDocument(7, testData(300_000)) // 10 segments
	first, second := launchHolder(t, "one", document), launchHolder(t, "two", document)
	first.limit.Store(6)
	var download gossiper.Download
	_, err := second.FetchDocument(t.Context(), first.address, &download)
	require.Error(t, err)
	require.Positive(t, download.Size())
	got, err := first.FetchDocument(t.Context(), second.address, &download)
	require.NoError(t, err)
	require.Equal(t, document, got)
	require.EqualValues(t, 4, second.segments.Load())
}

// Guards against a document that is put together from segments of two versions.
func TestFetchStartsAgainWhenTheDocumentChanges(t *testing.T) {
	older, newer := gossiper.NewDocument(7, testData(100_000)), gossiper.NewDocument(8, testData(90_000))
	first, second := launchHolder(t, "one", older), launchHolder(t, "two", newer)
	first.limit.Store(2)
	var download gossiper.Download
	_, err := second.FetchDocument(t.Context(), first.address, &download)
	require.Error(t, err)
	got, err := first.FetchDocument(t.Context(), second.address, &download)
	require.NoError(t, err)
	require.Equal(t, newer, got)
}

// Guards against a daemon of an earlier build that is never asked for its snapshot.
func TestDaemonWithoutDocumentsIsReported(t *testing.T) {
	h := launchHolder(t, "one", gossiper.Document{})
	old := newNetwork().launch(t, 0, 1, shortPeriod, nil)
	var download gossiper.Download
	_, err := h.FetchDocument(t.Context(), old.address, &download)
	require.ErrorIs(t, err, gossiper.ErrNoDocuments)
}
