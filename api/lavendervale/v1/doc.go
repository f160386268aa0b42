// Package lavendervalev1 holds the generated protobuf messages of the RPC services for
// callers and operators.
package lavendervalev1
