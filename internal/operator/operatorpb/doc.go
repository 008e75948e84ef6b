// Package operatorpb holds the generated messages of the operators' API.
package operatorpb
