// Package burn counts good and bad requests against service-level objectives and reports burn rates and who spent the error budget.
package burn
