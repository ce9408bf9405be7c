// Command soak runs entry hosts as separate processes against an emulated platform under load, injects random faults,
// and checks invariants on what callers and workers observe.
package main
