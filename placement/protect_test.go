package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/interference"
	"persimmonpick/journal"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

const reportLag = 20 * time.Second

// interferingCluster returns one worker with an instance and a batch task that slows it.
func interferingCluster() *table.Tables {
	t := cluster(1, 16)
	t.Instances["i"] = &table.Instance{ID: "i", Service: "s", Worker: "w000", Need: res(4, 4)}
	submit(t, "loud", 1, res(8, 8), time.Hour)
	task := t.Tasks["loud/0"]
	task.State = table.TaskStarted
	task.Lease = table.Lease{Worker: "w000", Token: 1, Need: res(8, 8)}
	return t
}

func alwaysInterferes(table.ServiceID, []interference.Neighbour, float64) (float64, float64) {
	return 2, 1
}

// runProtect runs Protect once a second. The ratio of p99 to the objective depends on the share that the task
// had one report lag earlier.
func runProtect(t *table.Tables, g *Guard, policy settings.Policy, seconds int, ratio func(sec int, share float64) float64) (cs []Command, rs []journal.Record) {
	shares := make([]float64, seconds)
	for sec := range seconds {
		now := start.Add(time.Duration(sec) * time.Second)
		shares[sec] = g.Share(t.Tasks["loud/0"])
		in := ProtectInput{Policy: policy, Lag: reportLag, Slowdown: alwaysInterferes}
		if old := sec - int(reportLag.Seconds()); old >= 0 && sec%5 == 0 {
			p99 := time.Duration(ratio(old, shares[old]) * float64(time.Second))
			in.Readings = []Reading{{Instance: "i", Taken: now.Add(-reportLag), P99: p99, Objective: time.Second, Load: 0.5}}
		}
		c, r := g.Protect(t, queue.NewScan(t), now, in)
		cs, rs = append(cs, c...), append(rs, r...)
	}
	return cs, rs
}

// Guards against oscillating throttles, which come about when reports that were taken before the last action
// trigger another one.
func TestLagDoesNotOscillate(t *testing.T) {
	is := is.New(t)
	policy := settings.Default().Policy
	policy.EvictionBudget = 0
	cs, _ := runProtect(interferingCluster(), NewGuard(), policy, 3600, func(_ int, share float64) float64 { return 0.6 + share*0.7 })
	is.True(len(cs) > 0)
	is.True(len(cs) <= 2*3600/240) // at most one throttle and one easing every four minutes
	calm, _ := runProtect(interferingCluster(), NewGuard(), policy, 3600, func(int, float64) float64 { return 0.95 })
	is.Equal(len(calm), 0)
}

// Guards against evicting a task before it was throttled, without asking for a checkpoint, or beyond the
// eviction budget.
func TestEvictionComesLast(t *testing.T) {
	is := is.New(t)
	policy := settings.Default().Policy
	policy.EvictionBudget = 100
	hopeless := func(int, float64) float64 { return 2 }
	cs, rs := runProtect(interferingCluster(), NewGuard(), policy, 600, hopeless)
	is.Equal(cs[0].Type, Throttle)
	is.Equal(cs[1].Type, Checkpoint)
	is.Equal(rs[0].LeaseRevoked.Reason, ReasonInterference)
	policy.EvictionBudget = 0
	_, rs = runProtect(interferingCluster(), NewGuard(), policy, 600, hopeless)
	is.Equal(len(rs), 0)
}

// Guards against a throttle that stays in force after the instance has recovered.
func TestThrottleIsEased(t *testing.T) {
	is := is.New(t)
	g, tab := NewGuard(), interferingCluster()
	policy := settings.Default().Policy
	policy.EvictionBudget = 0
	cs, _ := runProtect(tab, g, policy, 1200, func(sec int, _ float64) float64 {
		if sec < 120 {
			return 1.5
		}
		return 0.5
	})
	is.Equal(cs[0].Share, 0.5)
	is.Equal(g.Share(tab.Tasks["loud/0"]), 1.0)
}
