// Package timeline plots figures over time for the pages that operators read.
package timeline
