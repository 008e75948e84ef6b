package api

// Address is one node that a caller may connect to.
type Address struct {
	Node NodeID `json:"Node"`
	// URL is the node's base URL.
	URL           string        `json:"URL"`
	FailureDomain FailureDomain `json:"FailureDomain"`
	// Weight is the node's relative spare capacity, above 0.
	Weight float64 `json:"Weight"`
}

// Addresses is the answer of GET /v1/addresses, nearest failure domain first.
type Addresses struct {
	Addresses []Address `json:"Addresses"`
	// KeepSeconds is how long the caller may use the addresses before it asks again.
	KeepSeconds int `json:"KeepSeconds"`
}
