// Package table holds the entities of the scheduler, their ids and units, and the tables that systems run over.
package table
