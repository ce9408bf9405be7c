package experiment

import (
	"time"

	"persimmonpick/table"
)

// Size describes one deployment: its workers and instances, and what the policy puts first there.
type Size struct {
	Name          string
	Workers       int
	Instances     int
	Cores         int // per worker
	Memory        int // GB per worker
	RackSize      int // workers per rack
	InstanceNeed  table.Resources
	LatencyWeight float64 // settings.Policy.LatencyWeight of the deployment
	LatencyFirst  bool    // the primary metric of the deployment is p99, batch throughput otherwise
}

// Vakaoti returns the deployment that puts tail latency first.
func Vakaoti() Size {
	return Size{
		Name: "Vakaoti", Workers: 50, Instances: 50, Cores: 16, Memory: 60, RackSize: 8,
		InstanceNeed: resources(4, 8), LatencyWeight: 0.8, LatencyFirst: true,
	}
}

// SwanCoastal returns the deployment that puts batch throughput first.
func SwanCoastal() Size {
	return Size{
		Name: "SwanCoastal", Workers: 65, Instances: 65, Cores: 32, Memory: 125, RackSize: 11,
		InstanceNeed: resources(8, 16), LatencyWeight: 0.2,
	}
}

// Parameters of the simulated environment. They were fixed before the policy was tuned, so that the environment is
// not fitted to it.
const (
	warmUp              = 30 * time.Minute // excluded from the results of every variant
	measuredDuration    = 2 * time.Hour
	step                = time.Second
	serviceCount        = 2
	kindCount           = 8
	teamCount           = 4
	slotsPerInstance    = 8
	hostingShare        = 0.7 // share of workers that have instances
	offeredWorkRatio    = 1.1 // offered batch work over the spare cores
	initialBacklogShare = 0.1 // share of the offered work that is queued at the start

	medianService  = 50 * time.Millisecond
	serviceSpread  = 0.35 // standard deviation of the log of the service time
	objective      = 150 * time.Millisecond
	samplesPerStep = 4 // requests sampled per instance and step

	strongInterferenceShare = 0.3 // share of the pairs of service and kind that interfere strongly
	// Slowdown per unit of overcommit: cores requested by batch tasks beyond the spare ones, over all cores.
	overcommitSlowdown = 0.5

	reportPeriod = 5 * time.Second
	reportWindow = 10 * time.Second
	minLag       = 10 * time.Second
	maxLag       = 30 * time.Second
	reportNoise  = 0.25 // standard deviation of the log of a reported p99

	checkpointInterval    = 60 * time.Second // between the checkpoints that a task takes by itself
	failingWorkerStart    = 40 * time.Minute
	failingWorkerDuration = 40 * time.Minute
	failingWorkerTaskTime = 5 * time.Second // from the start of a task there to its failure
)

var epoch = time.Unix(1_800_000_000, 0)

func resources(cores, memoryGB float64) table.Resources {
	return table.Resources{CPU: table.Millicores(cores * 1000), Memory: table.Bytes(memoryGB * (1 << 30))}
}
