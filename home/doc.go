// Package home implements the process that owns agent programs and runs their
// calls on the model engine next to it. It puts the calls of each program in
// order, schedules model calls for the engine, sends service calls and orders,
// and writes every change to the journal, from which another home can take over
// a program.
package home
