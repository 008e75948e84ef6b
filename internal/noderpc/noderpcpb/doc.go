// Package noderpcpb holds the messages and the service of the calls from one node to one other.
package noderpcpb
