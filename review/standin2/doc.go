// Command standin2 plays the scripted cases 6, 7, 9 and 10 of the review, and two faults beside them: it starts entry
// hosts as processes on loopback, stands in for the platform, the workers and the callers, and checks one rule of the
// users' platform in each case.
package main
