// Package class defines classes of programs: the rank, target latency and limits that
// operators configure for each, and an estimate of the service that its programs need.
//
// Service is the time that calls hold a slot at the engine.
package class
