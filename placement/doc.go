// Package placement decides in each tick where batch work runs, which tasks are throttled or evicted, and which
// workers are quarantined.
//
// Place grants pending tasks to workers, Guard protects latency-critical instances, Vacate moves tasks off
// workers that go out of use, and Quarantine closes faulty workers. Controller combines them with the
// interference model and the corrections of declared sizes.
package placement
