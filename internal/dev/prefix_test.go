package dev_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
)

// TestSystemsTakeFreeAddresses starts two systems on the loopback interface at the same time.
func TestSystemsTakeFreeAddresses(t *testing.T) {
	opts := dev.Options{Config: loadCommons(t), Nodes: 1, Engines: 1, PlainServers: 1, Seed: 1}
	urls := make(map[string]bool)
	for range 2 {
		system, err := dev.Start(context.Background(), opts)
		qt.Assert(t, err, qt.IsNil)
		defer system.Close()
		urls[system.NodeURL(0)] = true
	}
	qt.Assert(t, urls, qt.HasLen, 2)
}
