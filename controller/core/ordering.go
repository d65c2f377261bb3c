package core

// This file contains a helper for comparison functions.

// BoolToInt returns 1 for true and 0 for false.
func BoolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}
