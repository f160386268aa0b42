package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lavendervale/lavendervale/fleet"
)

const (
	// MaxFullMeshEndpoints is the number of endpoints up to which every entry watches all.
	MaxFullMeshEndpoints = 32
	// watchersPerEndpoint is the number of entries that watch each endpoint when there are
	// more endpoints.
	watchersPerEndpoint = 2
)

// Subset returns the endpoints that an entry watches, which are those that it sends
// heartbeats to and places programs on. Up to MaxFullMeshEndpoints endpoints or
// watchersPerEndpoint entries, these are all endpoints. Beyond that each endpoint is watched
// by watchersPerEndpoint entries, selected by rendezvous hashing (highest random weight,
// Thaler and Ravishankar), so that a change of the entries or endpoints moves few assignments.
func Subset(entry string, entries []string, endpoints []fleet.Instance) []fleet.Instance {
	if len(endpoints) <= MaxFullMeshEndpoints || len(entries) <= watchersPerEndpoint {
		return endpoints
	}
	entryHashes := make([]uint64, len(entries))
	for i, e := range entries {
		entryHashes[i] = xxhash.Sum64String(e)
	}
	entryHash := xxhash.Sum64String(entry)
	var subset []fleet.Instance
	for _, endpoint := range endpoints {
		if countHigherRanked(entryHash, entryHashes, xxhash.Sum64String(endpoint.Name())) < watchersPerEndpoint {
			subset = append(subset, endpoint)
		}
	}
	return subset
}

// countHigherRanked counts the entries with a higher weight for an endpoint than the one
// with entryHash. It stops at watchersPerEndpoint.
func countHigherRanked(entryHash uint64, entryHashes []uint64, endpointHash uint64) int {
	weight := combineHashes(entryHash, endpointHash)
	n := 0
	for _, h := range entryHashes {
		if combineHashes(h, endpointHash) > weight {
			n++
			if n == watchersPerEndpoint {
				return n
			}
		}
	}
	return n
}

// combineHashes combines two hashes into a weight with the finalizer of SplitMix64.
func combineHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
