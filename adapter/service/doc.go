// Package service is the HTTP client of a plain service, one that is not a model engine.
// Each request carries an idempotency key.
package service
