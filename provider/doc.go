// Package provider is the one adapter to the platform: its log, its list of hosts and its workers.
package provider
