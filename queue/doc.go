// Package queue is a priority queue of the calls that wait at one endpoint, with the
// slots that they run in. Urgent calls go first, within a rank the call with the
// least slack, and each rank keeps a floor: a minimum share of service, which for this
// purpose is the total cost of the started calls.
package queue
