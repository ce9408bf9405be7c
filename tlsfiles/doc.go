// Package tlsfiles builds TLS configurations from the files of a listener and reloads changed files without a restart.
package tlsfiles
