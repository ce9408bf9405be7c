// Package standby relieves most entry hosts of reading the log. The leader and a few standbys read it; the
// other hosts send them heartbeats and query them.
package standby
