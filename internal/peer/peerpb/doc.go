// Package peerpb holds the generated messages of the exchange between the system's own nodes.
package peerpb
