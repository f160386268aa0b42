// Package class defines service classes: the rank, target latency and limits that
// operators configure for a kind of program, and estimates of the service it needs.
package class
