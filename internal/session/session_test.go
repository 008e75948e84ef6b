package session

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var (
	now    = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	oldKey = bytes.Repeat([]byte("o"), MinKeyBytes)
	newKey = bytes.Repeat([]byte("n"), MinKeyBytes)
	v1     = api.VersionID{Model: "tutor", Version: "v1"}
)

func claims() Claims {
	return Claims{Team: "carrasco", Service: "redaccion", Version: v1, IssuedAt: now, Expires: now.Add(time.Hour)}
}

func options() VerifyOptions {
	return VerifyOptions{Team: "carrasco", Service: "redaccion", Now: now}
}

func mustKeys(t testing.TB, secrets ...[]byte) *Keys {
	keys, err := NewKeys(secrets...)
	qt.Assert(t, err, qt.IsNil)
	return keys
}

func TestVerify(t *testing.T) {
	token := mustKeys(t, oldKey).Sign(claims())
	for _, test := range []struct {
		name  string
		keys  *Keys
		token api.SessionToken
		opts  func(*VerifyOptions)
		is    func(error) bool
	}{
		{name: "good", keys: mustKeys(t, oldKey), token: token},
		{name: "signed before the rotation", keys: mustKeys(t, newKey, oldKey), token: token},
		{name: "key retired", keys: mustKeys(t, newKey), token: token, is: IsErrTokenForged},
		{name: "cut", keys: mustKeys(t, oldKey), token: token[:len(token)-2], is: IsErrTokenForged},
		{name: "empty", keys: mustKeys(t, oldKey), is: IsErrTokenForged},
		{name: "too long", keys: mustKeys(t, oldKey), token: api.SessionToken(strings.Repeat("A", MaxTokenBytes+1)), is: IsErrTokenForged},
		{name: "expired", keys: mustKeys(t, oldKey), token: token, is: IsErrTokenExpired,
			opts: func(o *VerifyOptions) { o.Now = now.Add(time.Hour) }},
		{name: "other team", keys: mustKeys(t, oldKey), token: token, is: IsErrTokenForeign,
			opts: func(o *VerifyOptions) { o.Team = "notaries" }},
		{name: "other service", keys: mustKeys(t, oldKey), token: token, is: IsErrTokenForeign,
			opts: func(o *VerifyOptions) { o.Service = "despacho" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			opts := options()
			if test.opts != nil {
				test.opts(&opts)
			}
			got, err := test.keys.Verify(test.token, opts)
			if test.is != nil {
				qt.Assert(t, test.is(err), qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, claims())
		})
	}
}

func TestForeignTokenErrorHidesTeam(t *testing.T) {
	keys := mustKeys(t, oldKey)
	_, err := keys.Verify(keys.Sign(claims()), VerifyOptions{Team: "notaries", Service: "redaccion", Now: now.Add(2 * time.Hour)})
	qt.Assert(t, IsErrTokenForeign(err), qt.IsTrue)
	qt.Assert(t, err.Error(), qt.Not(qt.Contains), "carrasco")
}

func TestNewKeysRejectsShortKeys(t *testing.T) {
	_, err := NewKeys()
	qt.Assert(t, IsErrNoKey(err), qt.IsTrue)
	_, err = NewKeys(oldKey, []byte("short"))
	qt.Assert(t, IsErrKeyTooShort(err), qt.IsTrue)
	qt.Assert(t, err, qt.ErrorMatches, "session: session key 1 has 5 bytes, at least 16 are required")
}

func TestChangedTokenIsForged(t *testing.T) {
	keys := mustKeys(t, oldKey)
	token := []byte(keys.Sign(claims()))
	rapid.Check(t, func(t *rapid.T) {
		changed := bytes.Clone(token)
		at := rapid.IntRange(0, len(changed)-1).Draw(t, "at")
		changed[at] = rapid.Byte().Draw(t, "byte")
		_, err := keys.Verify(api.SessionToken(changed), options())
		if !bytes.Equal(changed, token) && !IsErrTokenForged(err) {
			t.Fatalf("accepted %q: %v", changed, err)
		}
	})
}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		state   fleet.VersionState
		allowed string
		repin   bool
		want    Decision
	}{
		{fleet.StateServing, "*", false, Decision{Action: ActionKeep, Version: v1}},
		{fleet.StateCandidate, "tutor", false, Decision{Action: ActionKeep, Version: v1}},
		{fleet.StateDraining, "tutor@v1", false, Decision{Action: ActionKeep, Version: v1}},
		{fleet.StateWithdrawn, "*", false, Decision{Action: ActionReject, Version: v1, Reason: api.ReasonWithdrawn}},
		{fleet.StateWithdrawn, "*", true, Decision{Action: ActionRepin, Version: v1, Reason: api.ReasonWithdrawn}},
		{fleet.StateServing, "other", false, Decision{Action: ActionReject, Version: v1, Reason: api.ReasonNotAllowed}},
		{fleet.StateServing, "tutor@v2", true, Decision{Action: ActionRepin, Version: v1, Reason: api.ReasonNotAllowed}},
	} {
		config := &fleet.Config{Services: []fleet.Service{{Name: "redaccion", Models: []fleet.Model{{
			Name: "tutor", Versions: []fleet.Version{{Name: "v1", State: test.state}},
		}}}}}
		got := Decide(claims(), DecideOptions{
			States: config, Now: now,
			Policy: fleet.Policy{Allowed: []string{test.allowed}, Repin: test.repin},
		})
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func FuzzVerify(f *testing.F) {
	keys := mustKeys(f, oldKey)
	f.Add([]byte(keys.Sign(claims())), false)
	f.Add(appendClaims(nil, claims()), true)
	f.Fuzz(func(t *testing.T, raw []byte, payload bool) {
		if !payload {
			_, _ = keys.Verify(api.SessionToken(raw), options())
			return
		}
		if got, ok := parseClaims(raw); ok {
			reparsed, ok := parseClaims(appendClaims(nil, got))
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, reparsed, qt.Equals, got)
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	keys := mustKeys(b, newKey, oldKey)
	token := mustKeys(b, oldKey).Sign(claims())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := keys.Verify(token, options()); err != nil {
			b.Fatal(err)
		}
	}
}
