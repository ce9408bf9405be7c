// Package scenario tests the daemons end to end: testscript scripts start them as processes and inject failures.
package scenario
