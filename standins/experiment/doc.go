// Package experiment compares the placement policy with baseline schedulers in a simulation in virtual time.
//
// The model is a set of workers that run service instances and batch tasks. The latency of an instance depends on
// its load and on interference coefficients that the policy cannot see; batch jobs declare inaccurate sizes and run
// times. Network, log and further entry hosts are not modelled.
package experiment
