// Package settings reads and validates the JSON settings file of persimmonpickd.
package settings
