// Package engine is a fake model engine for tests and benchmarks, with an
// OpenAI-compatible HTTP interface. It simulates the latency of prefill and of batched
// decoding, caches the prompt of each program up to a capacity, streams generated text
// that is determined by the prompt, and simulates failures.
package engine
