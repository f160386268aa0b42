// Package recordv1 holds the generated protobuf messages of the records in the journal of
// programs.
package recordv1
