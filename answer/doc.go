// Package answer writes the JSON responses of the HTTP listeners and decodes JSON request bodies.
package answer
