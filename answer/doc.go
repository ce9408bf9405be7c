// Package answer writes the JSON answers of the HTTP listeners and reads their JSON bodies.
package answer
