// Package peerpbconnect holds the generated client and server of the exchange between the system's own nodes.
package peerpbconnect
