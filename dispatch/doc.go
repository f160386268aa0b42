// Package dispatch is a priority queue of requests that wait for an endpoint of their
// service. It assigns free endpoint slots to waiting requests in order of rank and
// start deadline, and rejects requests that no endpoint can take.
package dispatch
