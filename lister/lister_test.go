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

const one = `{"vms":[{"name":"a","role":"engine","address":"127.0.0.1:1","centre":"x","state":"live"}]}`

// Guards against a list that is lost when the service fails or sends wrong
// data, and against changes that are missed or told twice.
func TestRunKeepsLastList(t *testing.T) {
	var body atomic.Value
	var polls atomic.Int32
	body.Store(one)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		polls.Add(1)
		if body.Load() == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(body.Load().(string)))
	}))
	defer server.Close()
	changes := make(chan lister.List, 10)
	l := &lister.Lister{URL: server.URL, Period: time.Millisecond, Changed: func(list lister.List) { changes <- list }}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	require.Len(t, (<-changes).VMs, 1)
	for _, bad := range []string{"", "{", `{"vms":[{"name":"a"}]}`, one[:len(one)-2] + "," + one[8:]} {
		body.Store(bad)
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

// Guards against an outdated list that counts as fresh, whatever the clocks are.
func TestAge(t *testing.T) {
	sent := time.Date(2001, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, age := range []time.Duration{0, 20 * time.Second, time.Minute} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Date", sent.Format(http.TimeFormat))
			w.Header().Set("Last-Modified", sent.Add(-age).Format(http.TimeFormat))
			_, _ = w.Write([]byte(one))
		}))
		changes := make(chan lister.List, 1)
		l := &lister.Lister{URL: server.URL, Fresh: 30 * time.Second, Changed: func(list lister.List) { changes <- list }}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = l.Run(ctx) }()
		list := <-changes
		require.Equal(t, age < 30*time.Second, l.IsFresh(list.Taken.Add(age)))
		cancel()
		server.Close()
	}
}

// Guards against a whole list for each poll, against changes that are missed
// behind an equal tag, and against an outdated list that an answer without
// Last-Modified makes fresh.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	sent := time.Date(2001, 1, 1, 0, 0, 0, 0, time.UTC)
	tag, unchanged := `"1"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Date", sent.Format(http.TimeFormat))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			unchanged++
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Last-Modified", sent.Format(http.TimeFormat))
		_, _ = w.Write([]byte(one))
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
	sent = sent.Add(time.Minute)
	poll(time.Minute)
	require.Equal(t, 1, unchanged)
	tag = `"2"`
	poll(0)
	require.Equal(t, 1, unchanged)
}

// Guards against polls that overload a failing service, or that stop.
func TestBackoff(t *testing.T) {
	require.Equal(t, 900*time.Millisecond, lister.Backoff(time.Second, 0, 0))
	require.Equal(t, 4*time.Second, lister.Backoff(time.Second, 2, 0.5))
	require.Equal(t, 15*time.Second, lister.Backoff(time.Second, 1000, 0.5))
	require.Equal(t, time.Minute, lister.Backoff(time.Minute, 3, 0.5))
}
