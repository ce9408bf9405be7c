// Package commands implements the persimmonpick command line, with one file for each command.
package commands
