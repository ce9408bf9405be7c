// Package route carries requests whose callers wait: it chooses an instance, forwards the request within its deadline and checks the whole answer.
package route
