// Package turn keeps the turns and the token budgets of programs in shards of a
// log that every front may write, without leases or clocks.
package turn
