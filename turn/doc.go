// Package turn is a sharded ledger of conversation turns and token budgets, kept
// in an append-only log shared by all fronts. Each program belongs to one shard of
// the log. Any front may write to any shard: appends are conditional on the
// shard's end offset, so writers need neither leases nor synchronized clocks.
package turn
