package lister_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/lister"
)

const oneVM = `{"vms":[{"name":"a","role":"engine","address":"127.0.0.1:1","centre":"x","state":"live"}]}`

// Guards against the loss of the list when the service fails or sends invalid data,
// and against changes that are missed or reported twice.
func TestRunKeepsLastValidList(t *testing.T) {
	var body atomic.Value
	var polls atomic.Int32
	body.Store(oneVM)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		polls.Add(1)
		if body.Load() == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(body.Load().(string)))
	}))
	defer server.Close()
	changes := make(chan lister.List, 10)
	l := &lister.Lister{URL: server.URL, Period: time.Millisecond, OnChange: func(list lister.List) { changes <- list }}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	require.Len(t, (<-changes).VMs, 1)
	for _, invalid := range []string{"", "{", `{"vms":[{"name":"a"}]}`, oneVM[:len(oneVM)-2] + "," + oneVM[8:]} {
		body.Store(invalid)
		before := polls.Load()
		require.Eventually(t, func() bool { return polls.Load() > before+2 }, 10*time.Second, time.Millisecond)
		require.Len(t, l.Last().VMs, 1)
	}
	body.Store(`{"vms":[]}`)
	require.Empty(t, (<-changes).VMs)
	cancel()
	require.NoError(t, <-done)
	require.Empty(t, changes)
}

// Guards against an outdated list that counts as fresh because the clocks of the
// service and the daemon differ.
func TestFreshnessUsesServiceClock(t *testing.T) {
	date := time.Date(2001, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, age := range []time.Duration{0, 20 * time.Second, time.Minute} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Date", date.Format(http.TimeFormat))
			w.Header().Set("Last-Modified", date.Add(-age).Format(http.TimeFormat))
			_, _ = w.Write([]byte(oneVM))
		}))
		changes := make(chan lister.List, 1)
		l := &lister.Lister{URL: server.URL, MaxAge: 30 * time.Second, OnChange: func(list lister.List) { changes <- list }}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = l.Run(ctx) }()
		list := <-changes
		require.Equal(t, age < 30*time.Second, l.IsFresh(list.Taken.Add(age)))
		cancel()
		server.Close()
	}
}

// Guards against the transfer of the complete list for each poll, against a changed
// list that is missed because of a cached ETag, and against an outdated list that
// counts as fresh after a 304 response without Last-Modified.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	date := time.Date(2001, 1, 1, 0, 0, 0, 0, time.UTC)
	etag, notModified := `"1"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Date", date.Format(http.TimeFormat))
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			notModified++
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Last-Modified", date.Format(http.TimeFormat))
		_, _ = w.Write([]byte(oneVM))
	}))
	defer server.Close()
	l := &lister.Lister{URL: server.URL}
	poll := func(age time.Duration) {
		before := time.Now()
		list, err := l.Poll(t.Context())
		require.NoError(t, err)
		require.Len(t, list.VMs, 1)
		require.False(t, list.Taken.Before(before.Add(-age)) || list.Taken.After(time.Now().Add(-age)))
	}
	poll(0)
	date = date.Add(time.Minute)
	poll(time.Minute)
	require.Equal(t, 1, notModified)
	etag = `"2"`
	poll(0)
	require.Equal(t, 1, notModified)
}

// Guards against polls that overload a failing service, and against delays without an
// upper bound.
func TestBackoff(t *testing.T) {
	require.Equal(t, 900*time.Millisecond, lister.Backoff(time.Second, 0, 0))
	require.Equal(t, 4*time.Second, lister.Backoff(time.Second, 2, 0.5))
	require.Equal(t, 15*time.Second, lister.Backoff(time.Second, 1000, 0.5))
	require.Equal(t, time.Minute, lister.Backoff(time.Minute, 3, 0.5))
}
