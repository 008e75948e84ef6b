package inforce_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/boottime"
	"github.com/monsoonrail/monsoonrail/internal/inforce"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

var errUnreadable = errors.New("unreadable")

func newKeeper(now *boottime.Time) *inforce.ActiveConfig {
	return inforce.New(inforce.Options{
		Decode: func(pair kv.Pair) (route.Config, error) {
			if string(pair.Value) == "bad" {
				return route.Config{}, errUnreadable
			}
			return route.Config{Revision: route.Revision(pair.Version)}, nil
		},
		MaxRevocationDelay: 5 * time.Second, MaxApplyDelay: 2 * time.Second,
		Now: func() boottime.Time { return *now },
	})
}

// TestNeverOlder applies configurations in any order: the newest stays in force.
func TestNeverOlder(t *testing.T) {
	now := boottime.Time(time.Hour)
	keeper := newKeeper(&now)
	qt.Assert(t, keeper.Current(), qt.IsNil)
	for _, version := range []kv.Version{5, 3, 9, 7, 9} {
		qt.Assert(t, keeper.Apply(kv.Pair{Version: version}), qt.IsTrue)
	}
	qt.Assert(t, keeper.Current().Config.Revision, qt.Equals, route.Revision(9))
	<-keeper.Known()
}

// TestKeysNeedProof lets the proof age.
func TestKeysNeedProof(t *testing.T) {
	now := boottime.Time(time.Hour)
	keeper := newKeeper(&now)
	keeper.Apply(kv.Pair{Version: 5})
	qt.Assert(t, keeper.MayUseKeys(), qt.IsFalse)
	keeper.ConfirmCurrent(now)
	for _, test := range []struct {
		age             time.Duration
		mayUse, isFresh bool
	}{
		{0, true, true},
		{2900 * time.Millisecond, true, true},
		{3 * time.Second, true, false},
		{4600 * time.Millisecond, true, false},
		{4700 * time.Millisecond, false, false},
		{time.Hour, false, false},
	} {
		now = boottime.Time(time.Hour + test.age)
		qt.Check(t, keeper.MayUseKeys(), qt.Equals, test.mayUse, qt.Commentf("%v", test.age))
		qt.Check(t, keeper.IsFresh(), qt.Equals, test.isFresh, qt.Commentf("%v", test.age))
	}
	// An older proof takes nothing back.
	now = boottime.Time(2 * time.Hour)
	keeper.ConfirmCurrent(now)
	keeper.ConfirmCurrent(now - boottime.Time(time.Hour))
	qt.Assert(t, keeper.MayUseKeys(), qt.IsTrue)
}

// TestUnreadableConfiguration keeps the old one in force, which proves nothing any more until the next one that can be read.
func TestUnreadableConfiguration(t *testing.T) {
	now := boottime.Time(time.Hour)
	keeper := newKeeper(&now)
	keeper.Apply(kv.Pair{Version: 5})
	keeper.ConfirmCurrent(now)
	qt.Assert(t, keeper.Apply(kv.Pair{Version: 6, Value: []byte("bad")}), qt.IsFalse)
	now += boottime.Time(10 * time.Second)
	keeper.ConfirmCurrent(now)
	qt.Assert(t, keeper.MayUseKeys(), qt.IsFalse)
	qt.Assert(t, keeper.Current().Config.Revision, qt.Equals, route.Revision(5))
	keeper.Apply(kv.Pair{Version: 7})
	keeper.ConfirmCurrent(now)
	qt.Assert(t, keeper.MayUseKeys(), qt.IsTrue)
}
