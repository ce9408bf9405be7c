// Package experiment compares the placement policy with baselines on a small model of workers in virtual time.
//
// It is one array of workers with instances whose latency depends on load and on a hidden matrix of interference, and batch arrivals with wrong declared sizes. It is no cluster simulator: there is no network, no log and no other entry host.
package experiment
