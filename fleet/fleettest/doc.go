// Package fleettest holds the contract that every adapter of the platform
// must meet.
package fleettest
