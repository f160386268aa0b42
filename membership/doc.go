// Package membership keeps the table of known instances and detects failed ones. It
// combines the platform's instance list, which lags behind, with the replies to heartbeats.
// It also assigns endpoints to the entries that watch them and the journal's streams to
// their committers.
package membership
