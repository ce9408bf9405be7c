// Package platform is a test stand-in for the platform. It serves the platform's log, host list and workers from one
// process, injects faults on request, and keeps a ledger of task runs that it checks against a set of rules.
package platform
