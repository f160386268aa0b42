// Package home implements the process that owns agent programs and runs their
// calls on the model engine next to it. It puts the calls of each program in
// order, schedules model calls for the engine, sends service calls and orders,
// and writes every change to the journal, from which another home can take over
// a program.
//
// An order is a service call that must run at most once. The home writes a
// claim to the journal before it sends an order, and the process next to the
// service keeps a ledger of the outcomes. A handle is what a caller passes with
// each call: it identifies a state of the program and carries the records that
// are not in the journal yet. The epoch of a program counts its takeovers.
package home
