package record

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	recordpb "github.com/lavendervale/lavendervale/api/record/v1"
	"github.com/lavendervale/lavendervale/entry"
)

// Publications is an entry.PublicationCodec.
type Publications struct{}

// Encode returns the bytes of a publication.
func (Publications) Encode(p entry.Publication) ([]byte, error) {
	data, err := proto.Marshal(&recordpb.Publication{Version: formatVersion, Base: p.Base, Author: p.Author, Text: p.Text})
	return data, trace.Wrap(err)
}

// Decode returns the publication of a log entry.
func (Publications) Decode(data []byte) (entry.Publication, error) {
	m := &recordpb.Publication{}
	if err := proto.Unmarshal(data, m); err != nil {
		return entry.Publication{}, trace.Wrap(err)
	}
	return entry.Publication{Base: m.GetBase(), Author: m.GetAuthor(), Text: m.GetText()}, nil
}
