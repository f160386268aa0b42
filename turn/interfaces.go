package turn

import (
	"context"
	"time"
)

// Log is the platform's log: an append-only sequence of records for each shard, with
// offsets that count records.
type Log interface {
	// AppendAt appends all records if the shard ends at offset, or none. It returns an
	// error of KindConflict when the shard ends elsewhere, of KindUnknown when the
	// outcome is unknown, and of KindUnavailable for other failures.
	AppendAt(ctx context.Context, shard int, offset int64, records [][]byte) error
	// Read returns records of a shard from offset on, possibly not all. It returns an
	// error of KindExpired when the record at offset was trimmed; Page.FirstOffset is
	// then set. Other errors are of KindUnavailable.
	Read(ctx context.Context, shard int, offset int64) (Page, error)
	// Trim deletes the records of a shard before an offset.
	Trim(ctx context.Context, shard int, before int64) error
}

// Page is a range of the records of a shard.
type Page struct {
	// FirstOffset is the offset of the oldest record in the log.
	FirstOffset int64
	// NextOffset is the offset of the next append, the end of the shard.
	NextOffset int64
	// Records holds the encoded records from the requested offset on.
	Records [][]byte
}

// Replicator holds replicas of records on other processes during an outage of the log.
type Replicator interface {
	// Replicate copies records to other processes. It returns an error unless enough
	// of them hold the records.
	Replicate(ctx context.Context, shard int, records [][]byte) error
	// ReleaseReplicas tells other processes to drop replicas that the log has now. It
	// does not wait for them.
	ReleaseReplicas(shard int, records [][]byte)
	// AppendAtHome has the home of a shard, another process, append records. It returns
	// when the log has them, or an error when no other process is the home, or ctx ends.
	AppendAtHome(ctx context.Context, shard int, records [][]byte) error
	// Replicas returns the replicas of a shard's records that this and other processes
	// hold, as far as these answer.
	Replicas(ctx context.Context, shard int) [][]byte
}

// BeginRequest asks to admit an attempt of a turn.
type BeginRequest struct {
	// Program is the identifier of the program.
	Program string
	// Session identifies a sequence of turns of the program, for example those of one
	// sub-agent.
	Session string
	// Attempt is the identifier of the caller's attempt. A repeated request with the
	// same attempt reserves its tokens once.
	Attempt string
	// Previous is the turn to continue, empty to start a conversation.
	Previous string
	// BudgetTokens is how many tokens the program may generate in all, 0 for no limit.
	BudgetTokens int64
	// MaxTokens is how many tokens this turn may generate. They are reserved until the
	// attempt ends.
	MaxTokens int64
	// Lease lets the home lease tokens of the program, so that it can admit turns while the
	// log is away. It is of no use for turns that end only once the log has them.
	Lease bool
}

// EndRequest settles an attempt.
type EndRequest struct {
	// Program is the identifier of the program.
	Program string
	// Session identifies a sequence of turns of the program, as in BeginRequest.
	Session string
	// Attempt is the identifier of the caller's attempt.
	Attempt string
	// DeliveredTokens is how many generated tokens were delivered to the caller.
	DeliveredTokens int64
	// Endpoint is the endpoint that served the turn, empty when none did.
	Endpoint string
	// Completed is the turn to keep so that it can be continued, nil when there is none.
	Completed *CompletedTurn
}

// CompletedTurn is a turn that ended normally and can be continued.
type CompletedTurn struct {
	// Previous is the turn that was continued, empty at the start of a conversation.
	Previous string
	// Text is the input and the output that the turn adds to the conversation.
	Text []byte
	// RetentionMS is how long the turn must be kept, in milliseconds.
	RetentionMS int64
}

// Admission is an admitted attempt of a turn.
type Admission interface {
	// Text returns the conversation that the turn continues, nil for a new one.
	Text() []byte
	// Endpoint returns the endpoint likely to have the conversation in its prompt
	// cache, empty when none is known.
	Endpoint() string
	// Begun reports whether the home knew of an earlier turn or token of the program when it
	// admitted the attempt.
	Begun() bool
	// Waited returns the time since the home of the program was first asked to begin it, 0 if it has
	// begun. A new home counts from its own first attempt.
	Waited() time.Duration
	// Wait blocks until the begin record is safe from the loss of the process that
	// admitted the attempt. If it returns an error, the attempt must not continue.
	Wait(ctx context.Context) error
}
