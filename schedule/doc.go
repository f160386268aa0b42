// Package schedule is the scheduler of one endpoint: it admits programs, orders
// and preempts their calls, adapts the number of calls at the engine, and tracks
// what the engine's prompt cache holds.
//
// Service is the time that calls hold a slot at the engine. The service that a
// program has had so far is its attained service. A floor is the share of service
// that a rank keeps however much work the other rank has.
package schedule
