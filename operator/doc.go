// Package operator turns operators' intents into plans, puts confirmed plans in force and serves the operators' HTTP interface.
package operator
