package experiment

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against unseeded randomness, such as map iteration order, in the policy, the baselines or the environment:
// two runs from one seed would differ. Also guards against records that violate the rules for applying them.
func TestRepeatsFromSeed(t *testing.T) {
	is := is.New(t)
	size := Vakaoti()
	size.Workers, size.Instances = 10, 10
	for _, v := range Variants(false) {
		first, second := Run(NewScenario(size, 7), v), Run(NewScenario(size, 7), v)
		is.Equal(first, second)
		is.Equal(first.Violations, 0)
	}
}
