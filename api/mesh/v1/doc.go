// Package meshv1 holds the generated protobuf messages of the protocol between fronts, the
// processes that serve callers on the platform.
package meshv1
