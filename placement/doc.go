// Package placement decides in each tick where batch work runs, which tasks are throttled or evicted, and which
// workers are quarantined.
//
// Place grants pending tasks to workers, Guard protects latency-critical instances, Vacate moves tasks off
// workers that are drained or leaving, and Quarantine takes faulty workers out of use. Controller combines them with
// the interference model and the corrections of declared sizes.
package placement
