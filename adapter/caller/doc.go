// Package caller implements the RPC services that callers (the customers' agent
// programs) and operators use: ProgramService and OperatorService at an entry, and
// DumpService at every process. The services speak Connect, which is RPC over HTTP.
package caller
