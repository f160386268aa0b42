package queue

import (
	"github.com/lavendervale/lavendervale/class"
)

const (
	// minFloor and maxFloor bound the floor of a rank, as a share of all service.
	minFloor = 0.05
	maxFloor = 0.25
)

// Floors holds the floor of each rank: the share of service, from 0 to 1, that the
// rank keeps however much work the other rank has. The zero value gives each rank
// the least floor.
type Floors struct {
	// shareByRank is 0 for a rank that has the least floor.
	shareByRank [class.Ranks]float64
	// disabled means that no rank has a floor.
	disabled bool
}

// NewFloors derives the floors from the classes. The floor of a rank is proportional
// to the worth of its classes divided by their targets, within bounds.
func NewFloors(classes []*class.Class) Floors {
	var valueByRank [class.Ranks]float64
	var totalValue float64
	for _, c := range classes {
		value := c.Worth() / c.Target().Seconds()
		valueByRank[c.Rank()] += value
		totalValue += value
	}
	var f Floors
	for r := range valueByRank {
		share := 0.0
		if totalValue > 0 {
			share = valueByRank[r] / totalValue
		}
		f.shareByRank[r] = min(maxFloor, max(minFloor, share))
	}
	return f
}

// NoFloors returns floors that guarantee no rank any service.
func NoFloors() Floors { return Floors{disabled: true} }

// Share returns the floor of a rank, from 0 to 1.
func (f Floors) Share(rank class.Rank) float64 { return f.share(rank) }

func (f Floors) share(rank class.Rank) float64 {
	if f.disabled {
		return 0
	}
	if f.shareByRank[rank] == 0 {
		return minFloor
	}
	return f.shareByRank[rank]
}
