// Package operatorpbconnect holds the generated client and server of the operators' API.
package operatorpbconnect
