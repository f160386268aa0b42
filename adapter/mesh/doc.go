// Package mesh is the peer-to-peer protocol between the fronts. Over UDP, fronts
// gossip that they are alive, their load on the endpoints and recent crashes. Over
// multiplexed TCP connections they forward turns to the home of a program, relay
// calls of the platform's store, and store replicas of records while the store does
// not answer.
package mesh
