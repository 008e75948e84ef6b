package standalone

import (
	"context"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
)

const (
	// fetchTimeout bounds one read of the list.
	fetchTimeout = 5 * time.Second
	// maxListBytes bounds the list; 12,000 VMs take about 2.5 MB.
	maxListBytes = 16 << 20
)

// VMList is a client of the VM list.
type VMList struct {
	base string
	http *http.Client
}

// NewVMList returns a client of the VM list at a base URL.
func NewVMList(base string, client *http.Client) *VMList {
	return &VMList{base: base, http: client}
}

// Fetch implements vmlist.Lister.
func (l *VMList) Fetch(ctx context.Context, etag string) (vmlist.Fetched, error) {
	call := httpjson.Request{
		Method:           http.MethodGet,
		URL:              l.base + "/v1/vms",
		Header:           http.Header{},
		Timeout:          fetchTimeout,
		MaxResponseBytes: maxListBytes,
		AcceptGzip:       true,
	}
	if etag != "" {
		call.Header.Set("If-None-Match", etag)
	}
	var list vmlist.List
	answer, err := httpjson.Do(ctx, l.http, call, &list)
	if err != nil {
		return vmlist.Fetched{}, vmlist.Error.Wrap(err)
	}
	return vmlist.Fetched{
		List:        list,
		ETag:        answer.Header.Get("ETag"),
		IsUnchanged: answer.Status == http.StatusNotModified,
		Bytes:       answer.BytesReceived,
	}, nil
}
