// Package peer connects the entry hosts with each other: heartbeats, liveness, the fence and calls by net/rpc.
package peer
