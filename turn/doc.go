// Package turn is a sharded ledger of conversation turns and token budgets, kept
// in an append-only log shared by all fronts, the processes that serve callers on
// the platform. Each program belongs to one shard of the log, and each shard has a
// front that usually serves it, its home. Any front may still write to any shard:
// appends are conditional on the shard's end offset, so writers need neither leases
// nor synchronized clocks.
//
// An attempt is one request to run a turn. It reserves tokens of the program's
// budget when it begins and settles them when it ends. While the log does not
// accept records, some of them are replicated to other fronts instead, so that
// their callers can go on.
package turn
