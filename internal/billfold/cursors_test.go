package billfold_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/monsoonrail/monsoonrail/internal/billfold"
	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestOldCursorsAreDeleted runs a Runner for a month; only the cursor that is still written must remain.
func TestOldCursorsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := kvfake.New()
		ctx, cancel := context.WithCancel(context.Background())
		put := func(key string) {
			value, err := proto.Marshal(&billingpb.Cursor{Next: 2, WrittenAt: time.Now().Unix()})
			c.Assert(err, qt.IsNil)
			_, err = service.Store().Commit(ctx, kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: billing.CursorPrefix + key, Value: value}}})
			c.Assert(err, qt.IsNil)
		}
		count := func() int {
			listed, err := service.Store().List(ctx, kv.ListOptions{Prefix: billing.CursorPrefix})
			c.Assert(err, qt.IsNil)
			return len(listed.Pairs)
		}
		for i := range 200 {
			put(fmt.Sprintf("i%03d", i))
		}
		done := make(chan error)
		runner := billfold.NewRunner(billfold.RunnerOptions{
			Store: service.Store(), Node: "n", Nodes: func() []api.NodeID { return []api.NodeID{"n"} }, Interval: time.Hour, Log: quiet,
		})
		go func() { done <- runner.Run(ctx) }()
		time.Sleep(30 * 24 * time.Hour)
		c.Assert(count(), qt.Equals, 200)
		put("i007")
		time.Sleep(24 * time.Hour)
		c.Assert(count(), qt.Equals, 1)
		cancel()
		<-done
	})
}
