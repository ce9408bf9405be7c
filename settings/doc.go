// Package settings reads and checks the JSON settings of the programs.
package settings
