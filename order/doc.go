// Package order provides at-most-once execution of non-idempotent service calls (orders).
// The process beside a service keeps a ledger of the orders that it has received. A
// repeat gets the recorded outcome, and a query for an order that has not run refuses it
// from then on, so that a home can prove that it did not run.
package order
