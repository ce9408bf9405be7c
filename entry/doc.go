// Package entry assembles an entry host: the control loop, the agents that talk to workers, and the callers' HTTP.
package entry
