// Package mesh is the peer-to-peer protocol between fronts, the processes that serve
// callers on the platform. Over UDP, fronts gossip that they are alive, their load on
// the endpoints and recent crashes. Over multiplexed TCP connections they forward turns
// to the home of a program, which is the front that owns its shard of the log, relay
// calls to the platform's store, and store replicas of records while the store does not
// answer.
package mesh
