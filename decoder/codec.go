package decoder

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

// CodecName is the gRPC content subtype of Codec.
const CodecName = "cbor"

// Codec encodes gRPC messages as CBOR and runs the Check methods of decoded messages.
type Codec struct{}

// Marshal implements encoding.Codec.
func (Codec) Marshal(value any) ([]byte, error) { return cbor.Marshal(value) }

// Unmarshal implements encoding.Codec.
func (Codec) Unmarshal(data []byte, value any) error { return CBOR(data, value) }

// Name implements encoding.Codec.
func (Codec) Name() string { return CodecName }

func init() { encoding.RegisterCodec(Codec{}) }
