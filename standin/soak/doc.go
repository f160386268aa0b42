// Package soak runs fronts as separate processes beside stand-ins of the platform, plays a
// schedule of faults drawn from a seed, and checks what callers and endpoints see.
package soak
