package plain_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/plain"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// collector is a Sink that keeps an answer.
type collector struct {
	head plain.Head
	body []byte
}

func (c *collector) Head(head plain.Head) error {
	c.head = head
	return nil
}

func (c *collector) Block(block []byte) error {
	c.body = append(c.body, block...)
	return nil
}

// TestEndWithConnectionIsReported reads answers with and without a length: only an answer that ends with its connection leaves open whether it
// is complete.
func TestEndWithConnectionIsReported(t *testing.T) {
	const address = "10.0.0.2:80"
	for _, test := range []struct {
		header string
		want   bool
	}{{"Content-Length: 4\r\n", false}, {"", true}} {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New()
			listener, err := network.Host("10.0.0.2").Listen(context.Background(), address)
			qt.Assert(t, err, qt.IsNil)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				qt.Check(t, err, qt.IsNil)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\nbody", test.header)
				_ = conn.Close()
			})}
			go func() { _ = server.Serve(listener) }()
			pooled := &http.Client{Transport: tcp.NewTransport(network.Host("10.0.0.1"))}
			client := plain.NewClient(pooled, pooled)
			var got collector
			err = client.Call(context.Background(), plain.CallOptions{
				Address: address, Method: http.MethodGet, Path: "/", HeaderTimeout: time.Second, BlockTimeout: time.Second,
			}, &got)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(got.body), qt.Equals, "body")
			qt.Check(t, got.head.EndsWithConnection, qt.Equals, test.want)
			qt.Assert(t, server.Close(), qt.IsNil)
		})
	}
}
