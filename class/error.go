package class

import "fmt"

// Kind is the category of an error.
type Kind uint8

// Kinds of errors.
const (
	// KindInvalid means that a setting or name is not valid.
	KindInvalid Kind = iota
)

// Error is the type of all errors that this package returns.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// newInvalidError returns an error about a setting of the class with the given name.
func newInvalidError(className, format string, args ...any) *Error {
	return &Error{operation: "check class", kind: KindInvalid, cause: fmt.Errorf("class %q: "+format, append([]any{className}, args...)...)}
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Op returns the operation that failed, such as "check class".
func (e *Error) Op() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
