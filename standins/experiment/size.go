package experiment

import (
	"time"

	"persimmonpick/table"
)

// Size is one deployment.
type Size struct {
	Name          string
	Workers       int
	Instances     int
	Cores         int
	Memory        int // GB
	RackSize      int
	InstanceNeed  table.Resources
	LatencyWeight float64 // settings.Policy.LatencyWeight of the deployment
	LatencyFirst  bool    // the deployment's own first measure is p99, and batch throughput otherwise
}

// Vakaoti is the deployment that puts tail latency first.
func Vakaoti() Size {
	return Size{
		Name: "Vakaoti", Workers: 50, Instances: 50, Cores: 16, Memory: 60, RackSize: 8,
		InstanceNeed: resources(4, 8), LatencyWeight: 0.8, LatencyFirst: true,
	}
}

// SwanCoastal is the deployment that puts batch throughput first.
func SwanCoastal() Size {
	return Size{
		Name: "SwanCoastal", Workers: 65, Instances: 65, Cores: 32, Memory: 125, RackSize: 11,
		InstanceNeed: resources(8, 16), LatencyWeight: 0.2,
	}
}

// The model of the environment; these were fixed before the policy was tuned.
const (
	warmUp              = 30 * time.Minute // not measured, for every variant alike
	measuredDuration    = 2 * time.Hour
	step                = time.Second
	serviceCount        = 2
	kindCount           = 8
	teamCount           = 4
	slotsPerInstance    = 8   // of each instance
	hostingShare        = 0.7 // share of workers that have instances
	offeredWorkRatio    = 1.1 // offered batch work over the spare capacity
	initialBacklogShare = 0.1 // share of the offered work that waits at the start

	medianService  = 50 * time.Millisecond
	serviceSpread  = 0.35 // standard deviation of the log of the service time
	objective      = 150 * time.Millisecond
	samplesPerStep = 4 // requests drawn for each instance in each step

	strongInterferenceShare = 0.3 // of the pairs of a service and a kind
	overcommitSlowdown      = 0.5 // slowdown by processors that batch tasks ask for beyond the spare ones

	reportPeriod = 5 * time.Second
	reportWindow = 10 * time.Second
	minLag       = 10 * time.Second
	maxLag       = 30 * time.Second
	reportNoise  = 0.25 // standard deviation of the log of a reported p99

	checkpointInterval    = 60 * time.Second // tasks save a checkpoint this often by themselves
	failingWorkerStart    = 40 * time.Minute
	failingWorkerDuration = 40 * time.Minute
	failingWorkerTaskTime = 5 * time.Second // tasks fail there after this time
)

var epoch = time.Unix(1_800_000_000, 0)

func resources(cores, memoryGB float64) table.Resources {
	return table.Resources{CPU: table.Millicores(cores * 1000), Memory: table.Bytes(memoryGB * (1 << 30))}
}
