package schedule

// Policy turns scheduling mechanisms off, so that the effect of each can be
// measured. The zero value leaves all of them on.
type Policy struct {
	// NoAdmission admits every program.
	NoAdmission bool
	// NoSlack serves the calls of a rank in order of arrival; it implies
	// NoRunningFirst.
	NoSlack bool
	// NoRank treats all calls as urgent.
	NoRank bool
	// NoFloor lets urgent work starve background work.
	NoFloor bool
	// NoReserve keeps no slot free for urgent calls.
	NoReserve bool
	// NoPreempt lets running background calls keep their slots.
	NoPreempt bool
	// NoAdaptiveLimit keeps the number of slots at its initial value.
	NoAdaptiveLimit bool
	// NoRunningFirst orders the first calls of programs like all later calls, instead
	// of after them.
	NoRunningFirst bool
}
