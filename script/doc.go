// Package script runs an agent program that is written in advance as a list of steps, and
// reports the result of each step.
package script
