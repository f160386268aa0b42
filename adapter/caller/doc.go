// Package caller implements the RPC services that callers (the customers' agent
// programs) and operators use: ProgramService and OperatorService at an entry, and
// DumpService at every entry and endpoint. The services speak Connect, which is RPC over HTTP.
package caller
