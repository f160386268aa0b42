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
	// formatVersion is the version of the batches this codec writes.
	formatVersion = 1
	// maxDecodedBytes bounds one decompressed append.
	maxDecodedBytes = 64 << 20
)

// Codec is a history.Codec.
type Codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewCodec returns a codec.
func NewCodec() *Codec {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(fmt.Sprintf("zstd encoder with constant options: %v", err))
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		panic(fmt.Sprintf("zstd decoder with constant options: %v", err))
	}
	return &Codec{encoder: encoder, decoder: decoder}
}

// Encode returns the bytes of one append.
func (c *Codec) Encode(records []history.Record) ([]byte, error) {
	batch := &recordpb.Batch{Version: formatVersion}
	for _, r := range records {
		batch.Records = append(batch.Records, fromRecord(r))
	}
	plain, err := proto.Marshal(batch)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return c.encoder.EncodeAll(plain, nil), nil
}

// Decode returns the records of one append; a record that can't be read is
// named in the error and its place is taken by one of history.StepUnknown.
func (c *Codec) Decode(data []byte) ([]history.Record, error) {
	plain, err := c.decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, trace.Wrap(err, "decompress append")
	}
	batch := &recordpb.Batch{}
	if err := proto.Unmarshal(plain, batch); err != nil {
		return nil, trace.Wrap(err, "decode append")
	}
	records := make([]history.Record, 0, len(batch.GetRecords()))
	var failures []error
	for i, m := range batch.GetRecords() {
		r, err := toRecord(m)
		if err != nil {
			failures = append(failures, fmt.Errorf("record %d: %w", i, err))
		}
		records = append(records, r)
	}
	return records, errors.Join(failures...)
}
