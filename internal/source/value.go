package source

// Reason says why a published value is not used.
type Reason string

// The reasons.
const (
	// Malformed values cannot be read, or have a field twice.
	Malformed Reason = "Malformed"
	// MissingField, WrongType and OutOfRange are about a field of the value.
	MissingField Reason = "MissingField"
	WrongType    Reason = "WrongType"
	OutOfRange   Reason = "OutOfRange"
	// UnknownName means that a field has a word that is not defined, or names a service that the
	// configuration does not have.
	UnknownName Reason = "UnknownName"
)

// Reasons lists all reasons, for metrics.
func Reasons() []Reason {
	return []Reason{Malformed, MissingField, WrongType, OutOfRange, UnknownName}
}

// ValueError is the error of a published value that is not used.
type ValueError struct {
	Reason Reason
	Err    error
}

// Error implements error.
func (e *ValueError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ValueError) Unwrap() error { return e.Err }
