// Package proptest fixes the seed of property tests, so that CI runs are deterministic. Tests import it
// for its side effect. The flag -rapid.seed selects other cases; 0 selects a random seed.
package proptest

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("proptest: " + err.Error())
		}
	}
}
