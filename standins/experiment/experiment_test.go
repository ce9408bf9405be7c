package experiment

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against hidden randomness, such as map order, in the policy, the baselines or the environment, and against records that break a rule of the fold.
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
