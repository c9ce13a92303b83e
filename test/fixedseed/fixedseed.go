// Package fixedseed makes property tests reproducible: it sets rapid's flags, among them
// the seed. Test packages import it for this side effect. Flags on the command line take
// precedence, so that `make fuzz` can use fresh seeds.
package fixedseed

import (
	"flag"

	// Imported so that its flags are registered before init sets them.
	_ "pgregory.net/rapid"
)

// Seed is the seed that CI runs with.
const Seed = "20261202"

func init() {
	for name, value := range map[string]string{"rapid.seed": Seed, "rapid.checks": "500", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
