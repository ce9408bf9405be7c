// Package share divides the slots of instances among entry hosts: each instance has one owner seat, which lends
// slots to other seats for a bounded time.
package share
