// Package standby lets most entry hosts leave the log alone: the leader and a few standbys read it, and the others attend to them and ask them.
package standby
