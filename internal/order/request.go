package order

import (
	"bytes"
	"context"
	"net/http"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
)

// newRequest returns the HTTP request of an order. It has no GetBody, so that the HTTP client can't retry it by itself after the
// sender's check of the lease.
func newRequest(ctx context.Context, server fleet.Server, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
