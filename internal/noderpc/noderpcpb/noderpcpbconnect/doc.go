// Package noderpcpbconnect holds the generated client and server of the calls from one node to one other.
package noderpcpbconnect
