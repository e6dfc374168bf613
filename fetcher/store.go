// Package fetcher contains the client of the platform's weight store.
package fetcher

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

const (
	callTimeout     = 2 * time.Second
	maxResponseSize = 64 << 10 // bytes
)

// Store is a client of the weight store. It implements cowslipproxy.WeightStore.
type Store struct {
	Address netip.AddrPort
	Client  *http.Client // nil means http.DefaultClient
}

var _ cowslipproxy.WeightStore = (*Store)(nil)

type rateResponse struct {
	Rate float64 `json:"rate" validate:"gte=0"` // bytes per second
}

type sizeResponse struct {
	Bytes int64 `json:"bytes" validate:"gte=0"`
}

// Rate implements cowslipproxy.WeightStore.
func (s *Store) Rate(ctx context.Context) (float64, error) {
	var response rateResponse
	err := s.get(ctx, "/v1/rate", nil, &response)
	return response.Rate, err
}

// Size implements cowslipproxy.WeightStore.
func (s *Store) Size(ctx context.Context, model, version string, layers cowslipproxy.LayerRange) (int64, error) {
	query := url.Values{
		"model":   {model},
		"version": {version},
		"first":   {strconv.Itoa(layers.First)},
		"end":     {strconv.Itoa(layers.End)},
	}
	var response sizeResponse
	err := s.get(ctx, "/v1/sizes", query, &response)
	return response.Bytes, err
}

func (s *Store) get(ctx context.Context, path string, query url.Values, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: s.Address.String(), Path: path, RawQuery: query.Encode()}
	var request *http.Request
	var err error
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil); err != nil {
		return errors.Wrap(err, "weight store")
	}
	client := s.Client
	if client == nil {
		client = http.DefaultClient
	}
	var response *http.Response
	if response, err = client.Do(request); err != nil {
		return errors.Wrap(err, "weight store")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("weight store: status %d is not 200", response.StatusCode)
	}
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxResponseSize)); err != nil {
		return errors.Wrap(err, "weight store")
	}
	return errors.Wrap(decoder.JSON(data, result), "weight store")
}
