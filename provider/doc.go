// Package provider is the client of the platform: its log, its host list and its workers.
package provider
