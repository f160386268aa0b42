// Package seal encrypts handles into opaque text for callers, with authenticated
// encryption, so that callers can neither read nor alter them.
package seal
