// Package triage decides in which order waiting jobs get room when there is too little: what waiting costs their callers
// least comes last. It makes no calls and has no clock of its own.
package triage
