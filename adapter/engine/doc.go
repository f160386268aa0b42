// Package engine is the HTTP client of a model engine. It uses the chat completions API of
// OpenAI, streamed as server-sent events.
package engine
