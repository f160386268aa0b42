// Package configuration is the model of the published configuration (classes, models,
// services and draining endpoints) and the replicated state machine that decides from the
// order of the log which published version is in force.
package configuration
