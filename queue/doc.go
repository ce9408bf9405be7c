// Package queue orders pending tasks: urgent jobs first, then jobs near their deadline, then the rest. Within
// each class the team with the lowest weighted dominant share comes first, and within a team the job with the
// earliest latest start (near a deadline) or the earliest submission (otherwise).
package queue
