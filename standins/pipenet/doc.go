// Package pipenet is an in-memory network for tests. It is built on net.Pipe, so that goroutines blocked on it count as
// durably blocked and the fake clock of testing/synctest can advance.
package pipenet
