package experiment

import (
	"math/rand/v2"

	"persimmonpick/placement"
)

// Variant is a scheduler to simulate, or a reference run that the goals compare with.
type Variant struct {
	Name     string
	Baseline bool // counts as a baseline that must not beat the policy
	prepare  func(w *world)
}

// Names of the variants that the goals refer to.
const (
	NoBatch    = "no batch work"
	BatchAlone = "batch alone on spare capacity"
	BestFit    = "best fit"
	Policy     = "policy"
)

// Variants returns the references, the baselines and the policy, and with withAblations also the policy with each
// feature disabled in turn.
func Variants(withAblations bool) []Variant {
	vs := []Variant{
		{Name: NoBatch, prepare: func(w *world) {
			w.noBatch = true
			w.ctl = (&baseline{}).controller()
		}},
		{Name: BatchAlone, prepare: func(w *world) {
			// Uses best fit: with the policy itself as reference, a policy that packs badly would lower its own goal.
			w.noRequests = true
			w.ctl = (&baseline{}).controller()
		}},
		{Name: "random", Baseline: true, prepare: func(w *world) {
			w.ctl = (&baseline{rng: rand.New(rand.NewPCG(w.sc.Seed, 3))}).controller()
		}},
		{Name: BestFit, Baseline: true, prepare: func(w *world) {
			w.ctl = (&baseline{evicts: true}).controller()
		}},
		{Name: "no colocation", Baseline: true, prepare: func(w *world) {
			w.ctl = (&baseline{noColocation: true}).controller()
		}},
		policyVariant(Policy, func(*placement.Controller) {}),
	}
	if !withAblations {
		return vs
	}
	return append(vs, ablations()...)
}

// ablations returns the policy with each feature disabled or reduced in turn.
func ablations() []Variant {
	return []Variant{
		policyVariant("without interference", func(s *placement.Controller) { s.Policy.Interference = false }),
		policyVariant("without correction", func(s *placement.Controller) { s.Policy.Correction = false }),
		policyVariant("without throttle", func(s *placement.Controller) { s.Policy.Throttle = false }),
		policyVariant("without eviction", func(s *placement.Controller) { s.Policy.EvictionBudget = 0 }),
		policyVariant("with headroom of 5%", func(s *placement.Controller) { s.Policy.UrgentHeadroom = 0.05 }),
		policyVariant("without reservations", func(s *placement.Controller) { s.Reservations = nil }),
		policyVariant("without quarantine", func(s *placement.Controller) { s.Policy.QuarantineShare = 0 }),
	}
}

func policyVariant(name string, change func(*placement.Controller)) Variant {
	return Variant{Name: name, prepare: func(w *world) {
		s := newPolicy(w.sc.Size)
		change(s)
		w.ctl = policyController(s)
	}}
}

// Run simulates one variant of a scenario and returns its metrics.
func Run(sc *Scenario, v Variant) Result {
	w := newWorld(sc)
	v.prepare(w)
	w.simulate()
	return w.res
}
