package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lavendervale/lavendervale/fleet"
)

const (
	// FullMesh is the number of endpoints up to which every entry hears of all.
	FullMesh = 32
	// watchers is the number of entries that hear of each endpoint beyond that.
	watchers = 2
)

// Subset returns the endpoints that an entry sends heartbeats to and places
// programs on: all of a small site, else those for which it ranks among the
// first entries by highest random weight (rendezvous hashing, after Thaler and
// Ravishankar), so that each endpoint is watched and a change moves little.
func Subset(entry string, entries []string, endpoints []fleet.Instance) []fleet.Instance {
	if len(endpoints) <= FullMesh || len(entries) <= watchers {
		return endpoints
	}
	seeds := make([]uint64, len(entries))
	for i, e := range entries {
		seeds[i] = xxhash.Sum64String(e)
	}
	own := xxhash.Sum64String(entry)
	var subset []fleet.Instance
	for _, endpoint := range endpoints {
		if before(own, seeds, xxhash.Sum64String(endpoint.Name())) < watchers {
			subset = append(subset, endpoint)
		}
	}
	return subset
}

// before counts the entries that rank above one for an endpoint, up to watchers.
func before(own uint64, seeds []uint64, endpoint uint64) int {
	weight := mix(own, endpoint)
	n := 0
	for _, s := range seeds {
		if mix(s, endpoint) > weight {
			n++
			if n == watchers {
				return n
			}
		}
	}
	return n
}

// mix joins two hashes into a weight (the finalizer of SplitMix64).
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
