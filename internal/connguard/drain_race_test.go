package connguard_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/connguard"
)

// lateListener accepts a last connection at the moment at which it is closed.
type lateListener struct {
	net.Listener
	conns  chan net.Conn
	client net.Conn
	close  sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *lateListener) Close() error {
	l.close.Do(func() {
		client, server := net.Pipe()
		l.client = client
		l.conns <- server
		close(l.conns)
	})
	return nil
}

// TestDrainWaitsForConnectionsAcceptedAsItBegins guards against a Drain that ends while a connection is open that was accepted between its begin and the end of
// the listener: its request would be cut off.
func TestDrainWaitsForConnectionsAcceptedAsItBegins(t *testing.T) {
	c := qt.New(t)
	inner := &lateListener{conns: make(chan net.Conn)}
	listener := connguard.New(connguard.Options{
		Listener: inner, MaxConns: 10, MaxBytes: ampleBytes, Count: func(connguard.Cause) {},
		Limits: func() connguard.Limits { return connguard.Limits{MaxHeadBytes: maxHead} },
	})
	accepted := make(chan net.Conn, 1)
	go func() {
		defer close(accepted)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	err := listener.Drain(ctx)
	conn, isOpen := <-accepted
	if isOpen {
		defer func() { _ = conn.Close() }()
		c.Check(err, qt.IsNotNil, qt.Commentf("Drain has ended, and the server has a connection"))
	}
}
