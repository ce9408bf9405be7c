// Package burn counts good and bad requests against service-level objectives, merges the counts of all entry hosts, and
// reports error-budget burn rates and which kinds, instances and workers spent the budget.
package burn
