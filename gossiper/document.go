package gossiper

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	segmentSize    = 32 << 10 // bytes; about 20 ms on a link of 14 Mbit/s
	segmentTimeout = time.Second
)

// ErrNoDocuments is returned by FetchDocument if the other daemon does not know the
// call, because it runs an earlier build.
var ErrNoDocuments = errors.New("daemon does not serve documents")

// Document is data that daemons fetch from each other. It is opaque to this package.
type Document struct {
	Version uint64
	Data    []byte

	sum uint64
}

// NewDocument returns a document. The data must not be changed afterwards.
func NewDocument(version uint64, data []byte) Document {
	return Document{Version: version, Data: data, sum: xxhash.Sum64(data)}
}

// SegmentRequest asks for a segment of a document. If the other daemon holds another
// document, it sends the first segment of that one.
type SegmentRequest struct {
	Version uint64 `json:"version"`
	Sum     uint64 `json:"sum"`
	From    int    `json:"from"`
}

// Segment is a part of a document.
type Segment struct {
	Version uint64 `json:"version"`
	Sum     uint64 `json:"sum"`  // xxHash of the whole document
	Size    int    `json:"size"` // bytes of the whole document
	From    int    `json:"from"`
	Data    []byte `json:"data"`
}

// Check reports the first invalid field.
func (s Segment) Check() error {
	if s.Size < 1 || s.Size > maxSnapshot {
		return errors.Errorf("size: %d is not between 1 and %d", s.Size, maxSnapshot)
	}
	if len(s.Data) < 1 || s.From < 0 || s.From > s.Size-len(s.Data) {
		return errors.Errorf("data: %d bytes from %d are not a part of %d bytes", len(s.Data), s.From, s.Size)
	}
	return nil
}

// Download is the part of a document that was fetched so far. It can be continued at
// another daemon that holds the same document.
type Download struct {
	version, sum uint64
	data         []byte
}

// Size returns the number of bytes fetched so far.
func (d *Download) Size() int { return len(d.data) }

// add appends a segment and reports whether the document is complete. A segment of
// another document starts the download again.
func (d *Download) add(segment Segment) (complete bool, err error) {
	if segment.Version != d.version || segment.Sum != d.sum {
		*d = Download{version: segment.Version, sum: segment.Sum}
	}
	if segment.From != len(d.data) {
		return false, errors.Errorf("segment starts at byte %d instead of %d", segment.From, len(d.data))
	}
	d.data = append(d.data, segment.Data...)
	return len(d.data) == segment.Size, nil
}

// FetchDocument fetches the document of another daemon. After an error, a later call
// with the same download continues it.
func (g *Gossiper) FetchDocument(ctx context.Context, address string, download *Download) (Document, error) {
	g.setup()
	for complete := false; !complete; {
		var segment Segment
		var err error
		if segment, err = g.fetchSegment(ctx, address, SegmentRequest{Version: download.version, Sum: download.sum, From: len(download.data)}); err != nil {
			return Document{}, err
		}
		if complete, err = download.add(segment); err != nil {
			return Document{}, err
		}
	}
	document, sum := NewDocument(download.version, download.data), download.sum
	*download = Download{}
	if document.sum != sum {
		return Document{}, errors.New("document does not match its hash")
	}
	return document, nil
}

func (g *Gossiper) fetchSegment(ctx context.Context, address string, request SegmentRequest) (Segment, error) {
	ctx, cancel := context.WithTimeout(ctx, segmentTimeout)
	defer cancel()
	var segment Segment
	err := g.invoke(ctx, address, "Segment", &request, &segment)
	if status.Code(errors.Cause(err)) == codes.Unimplemented {
		return segment, errors.WithStack(ErrNoDocuments)
	}
	return segment, err
}

// serveSegment handles the Segment call of another daemon.
func (g *Gossiper) serveSegment(request *SegmentRequest) (*Segment, error) {
	if g.Document == nil {
		return nil, status.Error(codes.Unimplemented, "daemon has no documents")
	}
	document, ok := g.Document()
	if !ok {
		return nil, status.Error(codes.Unavailable, "document is not loaded yet")
	}
	from := request.From
	if request.Version != document.Version || request.Sum != document.sum || from < 0 || from >= len(document.Data) {
		from = 0
	}
	data := document.Data[from:min(from+segmentSize, len(document.Data))]
	return &Segment{Version: document.Version, Sum: document.sum, Size: len(document.Data), From: from, Data: data}, nil
}
