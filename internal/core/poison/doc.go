// Package poison names requests by their content, so that one that ends the process which
// runs it is known again when it comes back.
package poison
