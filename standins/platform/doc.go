// Package platform is a stand-in for the platform in tests: its log, its list of hosts and its workers in one process, with faults on demand.
package platform
