package core

// This file holds what comparison functions need.

// BoolToInt is 1 for true and 0 for false, for comparison functions.
func BoolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}
