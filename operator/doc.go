// Package operator serves the operators' HTTP API: status, jobs, workers, reports, and configuration changes that are
// first planned and then confirmed.
package operator
