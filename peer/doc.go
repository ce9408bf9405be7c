// Package peer connects the entry hosts: heartbeats, liveness, fencing and net/rpc calls.
package peer
