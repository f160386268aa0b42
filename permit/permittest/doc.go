// Package permittest checks rate limits in tests.
package permittest
