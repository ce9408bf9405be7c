// Package maintenance takes machines down for maintenance in the waves that an operator requests. Each machine
// is evacuated first, and no more machines are down at once than the wave allows.
package maintenance
