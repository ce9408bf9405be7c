// Command standin2 plays the cases 6 to 10 of the review: it starts entry hosts as processes on loopback, stands in for
// the platform, the workers and the callers, and checks one rule of the users' platform in each case.
package main
