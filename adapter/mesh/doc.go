// Package mesh connects the fronts: they gossip their load over datagrams, and
// ask each other over multiplexed connections for turns, for calls of the store,
// and to hold records while the store is away.
package mesh
