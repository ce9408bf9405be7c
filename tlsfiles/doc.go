// Package tlsfiles builds TLS configurations from the certificate files of a listener and reloads the files when they
// change, without a restart.
package tlsfiles
