// Package queue decides the order of pending tasks: urgency, deadlines, fair shares of teams and age.
package queue
