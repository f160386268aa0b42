// Package dispatch is a priority queue of requests that wait for an endpoint of their
// service. It assigns free endpoint slots to waiting requests in order of rank and due
// time, and rejects requests for which the service has no usable endpoint.
package dispatch
