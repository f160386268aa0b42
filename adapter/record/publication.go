package record

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	recordpb "github.com/lavendervale/lavendervale/api/record/v1"
	"github.com/lavendervale/lavendervale/entry"
)

// PublicationCodec is an entry.PublicationCodec for configurations published by operators.
type PublicationCodec struct{}

// Encode returns the encoding of a publication.
func (PublicationCodec) Encode(publication entry.Publication) ([]byte, error) {
	data, err := proto.Marshal(&recordpb.Publication{Version: formatVersion, Base: publication.Base, Author: publication.Author, Text: publication.Text})
	return data, trace.Wrap(err)
}

// Decode returns the publication encoded by Encode.
func (PublicationCodec) Decode(data []byte) (entry.Publication, error) {
	m := &recordpb.Publication{}
	if err := proto.Unmarshal(data, m); err != nil {
		return entry.Publication{}, trace.Wrap(err)
	}
	return entry.Publication{Base: m.GetBase(), Author: m.GetAuthor(), Text: m.GetText()}, nil
}
