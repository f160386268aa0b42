// Package fleettest contains the contract tests that every client of the platform's log and
// instance list must pass.
package fleettest
