// Package quarantine tracks requests that crashed model engines, so that they run alone
// after the first crash and not at all after the second.
package quarantine
