// Package errs adds a nil-safe Wrap to go-faster/errors, whose own Wrap returns a non-nil error for a nil one.
package errs

import "github.com/go-faster/errors"

// Wrap adds context to err, or returns nil if err is nil.
func Wrap(err error, context string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, context)
}
