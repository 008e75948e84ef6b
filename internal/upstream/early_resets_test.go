package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
)

// TestResetWithinAnUploadIsNoAnswer sends long uploads over sockets to a server that answers at once without a length, and resets the connection after a part
// of its body while the upload is still being written: the part is no complete answer.
func TestResetWithinAnUploadIsNoAnswer(t *testing.T) {
	const idHeader, uploads = "X-Id", 200
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(conn, make([]byte, 1))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
				_, _ = io.CopyN(io.Discard, conn, 1<<20)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	pool := upstream.NewPool(upstream.Options{
		Network:  tcp.System{},
		AnswerID: func(header map[string][]string) string { return http.Header(header).Get(idHeader) },
	})
	defer pool.Close()
	body := make([]byte, 4<<20)
	for range uploads {
		answer, err := pool.Send(context.Background(), listener.Addr().String(), &upstream.Request{
			ID: "1", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, Body: body, HasBody: true,
		})
		if err != nil {
			qt.Check(t, upstream.IsErrNoAnswer(err), qt.IsTrue, qt.Commentf("%v", err))
			continue
		}
		_, err = io.ReadAll(answer.Body)
		answer.Close()
		qt.Check(t, err, qt.IsNotNil)
	}
}
