// Command soak runs entry hosts as separate processes against an emulated platform, injects faults from outside, and checks what callers and workers see.
package main
