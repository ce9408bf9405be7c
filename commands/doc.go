// Package commands is the persimmonpick command line, one file per command.
package commands
