// Package triage decides in which order waiting jobs get room when there is too little, so that waiting costs callers
// least. It makes no calls and has no clock of its own.
package triage
