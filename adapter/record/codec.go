package record

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	recordpb "github.com/lavendervale/lavendervale/api/record/v1"
	"github.com/lavendervale/lavendervale/history"
)

const (
	// formatVersion is the version written into every encoded message.
	formatVersion = 1
	// maxEncodedBytes is the largest size of one append before compression.
	maxEncodedBytes = 16 << 20
	// maxDecodedBytes is the largest size of one decompressed append, so that a corrupt
	// entry can't exhaust the memory.
	maxDecodedBytes = 64 << 20
)

// Codec is a history.Codec for batches of protobuf messages, compressed with zstd.
type Codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewCodec returns a Codec.
func NewCodec() *Codec {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(fmt.Sprintf("create zstd encoder with constant options: %v", err))
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		panic(fmt.Sprintf("create zstd decoder with constant options: %v", err))
	}
	return &Codec{encoder: encoder, decoder: decoder}
}

// Encode returns the encoding of the records of one append. It fails when they are larger
// than maxEncodedBytes together.
func (c *Codec) Encode(records []history.Record) ([]byte, error) {
	batch := &recordpb.Batch{Version: formatVersion}
	for _, r := range records {
		batch.Records = append(batch.Records, recordToProto(r))
	}
	marshaled, err := proto.Marshal(batch)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(marshaled) > maxEncodedBytes {
		return nil, trace.LimitExceeded("append of %d bytes exceeds the maximum of %d bytes", len(marshaled), maxEncodedBytes)
	}
	return c.encoder.EncodeAll(marshaled, nil), nil
}

// Decode returns the records of one append in their order. A record that can't be decoded
// is replaced by one of history.TypeUnknown and reported in the error. No records are
// returned when the append can't be decompressed or is not a batch.
func (c *Codec) Decode(data []byte) ([]history.Record, error) {
	decompressed, err := c.decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, trace.Wrap(err, "decompress append")
	}
	batch := &recordpb.Batch{}
	if err := proto.Unmarshal(decompressed, batch); err != nil {
		return nil, trace.Wrap(err, "decode append")
	}
	records := make([]history.Record, 0, len(batch.GetRecords()))
	var decodeErrors []error
	for i, m := range batch.GetRecords() {
		r, err := recordFromProto(m)
		if err != nil {
			decodeErrors = append(decodeErrors, fmt.Errorf("record %d: %w", i, err))
		}
		records = append(records, r)
	}
	return records, errors.Join(decodeErrors...)
}
