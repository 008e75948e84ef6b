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

func newActiveConfig(now *boottime.Time) *inforce.ActiveConfig {
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

// TestOlderRevisionIsIgnored checks that the newest configuration stays in force whatever the order of Apply calls.
func TestOlderRevisionIsIgnored(t *testing.T) {
	now := boottime.Time(time.Hour)
	active := newActiveConfig(&now)
	qt.Assert(t, active.Current(), qt.IsNil)
	for _, version := range []kv.Version{5, 3, 9, 7, 9} {
		qt.Assert(t, active.Apply(kv.Pair{Version: version}), qt.IsTrue)
	}
	qt.Assert(t, active.Current().Config.Revision, qt.Equals, route.Revision(9))
	select {
	case <-active.Confirmed():
		t.Fatal("confirmed by a value alone")
	default:
	}
	active.ConfirmCurrent(now)
	<-active.Confirmed()
}

// TestKeysNeedRecentConfirmation checks up to which age of the confirmation keys are trusted and the configuration is fresh.
func TestKeysNeedRecentConfirmation(t *testing.T) {
	now := boottime.Time(time.Hour)
	active := newActiveConfig(&now)
	active.Apply(kv.Pair{Version: 5})
	qt.Assert(t, active.MayUseKeys(), qt.IsFalse)
	active.ConfirmCurrent(now)
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
		qt.Check(t, active.MayUseKeys(), qt.Equals, test.mayUse, qt.Commentf("%v", test.age))
		qt.Check(t, active.IsFresh(), qt.Equals, test.isFresh, qt.Commentf("%v", test.age))
	}
	// A confirmation with an earlier time has no effect.
	now = boottime.Time(2 * time.Hour)
	active.ConfirmCurrent(now)
	active.ConfirmCurrent(now - boottime.Time(time.Hour))
	qt.Assert(t, active.MayUseKeys(), qt.IsTrue)
}

// TestUnreadableConfiguration checks that after an undecodable value the old configuration stays in force but can't be confirmed until
// a later value can be decoded.
func TestUnreadableConfiguration(t *testing.T) {
	now := boottime.Time(time.Hour)
	active := newActiveConfig(&now)
	active.Apply(kv.Pair{Version: 5})
	active.ConfirmCurrent(now)
	qt.Assert(t, active.Apply(kv.Pair{Version: 6, Value: []byte("bad")}), qt.IsFalse)
	now += boottime.Time(10 * time.Second)
	active.ConfirmCurrent(now)
	qt.Assert(t, active.MayUseKeys(), qt.IsFalse)
	qt.Assert(t, active.Current().Config.Revision, qt.Equals, route.Revision(5))
	active.Apply(kv.Pair{Version: 7})
	active.ConfirmCurrent(now)
	qt.Assert(t, active.MayUseKeys(), qt.IsTrue)
}
