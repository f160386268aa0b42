// Package bench contains benchmarks of the scheduler. One group simulates a
// fleet in virtual time, with the production schedule and placement code and
// modeled engines, to compare scheduling policies. The other measures memory,
// processor time, allocations and log traffic of real components. Results are
// printed as tables and can be written as JSON, Markdown and SVG plots.
package bench
