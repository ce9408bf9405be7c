// Package faultproxy is a TCP proxy on loopback that injects network faults: delays, resets, stalls, and lost or
// truncated responses.
package faultproxy
