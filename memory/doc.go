// Package memory bounds the bytes that all requests in progress of a process hold in buffers.
// When the bound is reached, the request that holds most is ended, so that a few very long
// responses do not cost the others theirs. A second bound holds for connections and the heads of
// requests, which come before anything is known of a request.
package memory
