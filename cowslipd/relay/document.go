package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"log/slog"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// maxConfigurationSize bounds a decompressed configuration, in bytes. 6,400 routes
// take 1.7 MB.
const maxConfigurationSize = 16 << 20

// document returns the compressed configuration for other daemons. A configuration
// that came from another daemon is passed on as it was received.
func (d *Daemon) document() (gossiper.Document, bool) {
	m := d.matcher.Load()
	if m == nil {
		return gossiper.Document{}, false
	}
	d.documentMu.Lock()
	defer d.documentMu.Unlock()
	if d.currentDocument.Version == m.RelayConfiguration.Version {
		return d.currentDocument, true
	}
	var document gossiper.Document
	var err error
	if document, err = encodeConfiguration(m.RelayConfiguration); err != nil {
		reporter.EventExchangeFailed.Log(context.Background(), d.Logger, slog.Any("error", err))
		return gossiper.Document{}, false
	}
	d.currentDocument = document
	return document, true
}

// keepDocument keeps the document of the active configuration, to pass it on.
func (d *Daemon) keepDocument(document gossiper.Document) {
	d.documentMu.Lock()
	defer d.documentMu.Unlock()
	if document.Version > d.currentDocument.Version {
		d.currentDocument = document
	}
}

func encodeConfiguration(configuration cowslipproxy.RelayConfiguration) (gossiper.Document, error) {
	var compressed bytes.Buffer
	var writer *gzip.Writer
	var err error
	if writer, err = gzip.NewWriterLevel(&compressed, gzip.BestSpeed); err != nil {
		return gossiper.Document{}, errors.WithStack(err)
	}
	if err := json.NewEncoder(writer).Encode(configuration); err != nil {
		return gossiper.Document{}, errors.WithStack(err)
	}
	if err := writer.Close(); err != nil {
		return gossiper.Document{}, errors.WithStack(err)
	}
	return gossiper.NewDocument(configuration.Version, compressed.Bytes()), nil
}

func decodeConfiguration(document gossiper.Document) (cowslipproxy.RelayConfiguration, error) {
	var configuration cowslipproxy.RelayConfiguration
	var reader *gzip.Reader
	var err error
	if reader, err = gzip.NewReader(bytes.NewReader(document.Data)); err != nil {
		return configuration, errors.WithStack(err)
	}
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(reader, maxConfigurationSize)); err != nil {
		return configuration, errors.WithStack(err)
	}
	if err := decoder.JSON(data, &configuration); err != nil {
		return configuration, err
	}
	if configuration.Version != document.Version {
		return configuration, errors.Errorf("version: %d is not that of the document, %d", configuration.Version, document.Version)
	}
	return configuration, nil
}
