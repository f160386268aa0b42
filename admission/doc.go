// Package admission is the admission control of one endpoint: a new program may start
// only when its predicted latency meets its target and the engine's prompt cache can
// hold it beside the admitted programs.
//
// Service is the time that calls hold a slot at the engine.
package admission
