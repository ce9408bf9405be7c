// Package ingress bounds what the clients of a process hold of its memory and descriptors, over all its listeners.
package ingress
