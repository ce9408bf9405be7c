// Package standby spares most entry hosts reading the log: the leader and a few standbys read it, and the others send them heartbeats and ask them.
package standby
