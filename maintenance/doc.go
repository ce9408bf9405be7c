// Package maintenance takes machines down for maintenance, in the waves that an operator asks for: emptied first, and no more of them at once than the wave allows.
package maintenance
