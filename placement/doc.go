// Package placement holds the systems that decide each tick where batch work runs, and what is throttled, evicted or quarantined.
package placement
