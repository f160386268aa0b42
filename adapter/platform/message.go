package platform

import "time"

// AppendReply is the JSON response to an append.
type AppendReply struct {
	// Offset is the position of the new entry in its stream.
	Offset int64 `json:"offset"`
}

// ReadReply is the JSON response to a read.
type ReadReply struct {
	// First is the oldest offset that the log has.
	First int64 `json:"first"`
	// Next is the offset that the next append gets.
	Next int64 `json:"next"`
	// Entries holds the entries read, in the order of their offsets.
	Entries []EntryMessage `json:"entries"`
}

// EntryMessage is one entry of a stream.
type EntryMessage struct {
	// Offset is the position in the stream.
	Offset int64 `json:"offset"`
	// Data is the content of the entry; it is base64 in JSON.
	Data []byte `json:"data"`
	// Time is when the log appended the entry.
	Time time.Time `json:"time"`
}

// InstanceMessage is one process in the list of instances.
type InstanceMessage struct {
	// Name is unique among the live instances.
	Name string `json:"name"`
	// Address is the IP address and port that other processes of the system connect to.
	Address string `json:"address"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain"`
	// Role is one of entry, engine, service.
	Role string `json:"role"`
	// Service is the name of the plain service, or the model of the engine, beside the
	// process; empty if not stated.
	Service string `json:"service,omitempty"`
	// Leaving is set if the instance is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}
