package idem

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var (
	now       = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	oldSecret = bytes.Repeat([]byte("o"), MinSecretBytes)
	newSecret = bytes.Repeat([]byte("n"), MinSecretBytes)
)

func issuer(t testing.TB, secrets ...[]byte) *Issuer {
	i, err := NewIssuer(IssuerOptions{Node: "n1", Incarnation: "i1", Secrets: secrets})
	qt.Assert(t, err, qt.IsNil)
	return i
}

func TestVerify(t *testing.T) {
	key := issuer(t, oldSecret).Issue("carrasco", now)
	for _, test := range []struct {
		name    string
		secrets [][]byte
		key     api.IdempotencyKey
		team    api.Team
		now     time.Time
		is      func(error) bool
	}{
		{name: "good", secrets: [][]byte{oldSecret}, key: key, team: "carrasco", now: now.Add(DefaultLifetime - time.Second)},
		{name: "signed before the rotation", secrets: [][]byte{newSecret, oldSecret}, key: key, team: "carrasco", now: now},
		{name: "secret retired", secrets: [][]byte{newSecret}, key: key, team: "carrasco", now: now, is: IsErrKeyForged},
		{name: "another team", secrets: [][]byte{oldSecret}, key: key, team: "commons", now: now, is: IsErrKeyForged},
		{name: "cut", secrets: [][]byte{oldSecret}, key: key[:len(key)-1], team: "carrasco", now: now, is: IsErrKeyForged},
		{name: "own key", secrets: [][]byte{oldSecret}, key: "order-17", team: "carrasco", now: now, is: IsErrKeyForged},
		{name: "expired", secrets: [][]byte{oldSecret}, key: key, team: "carrasco", now: now.Add(DefaultLifetime), is: IsErrKeyExpired},
		{name: "long", secrets: [][]byte{oldSecret}, key: key + api.IdempotencyKey(strings.Repeat("A", MaxKeyBytes)), team: "carrasco", now: now, is: IsErrKeyForged},
	} {
		t.Run(test.name, func(t *testing.T) {
			issued, err := issuer(t, test.secrets...).Verify(test.key, test.team, test.now)
			if test.is != nil {
				qt.Assert(t, err, qt.Satisfies, test.is)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, issued, qt.Equals, IssuedKey{Node: "n1", Incarnation: "i1", Expires: now.Add(DefaultLifetime)})
		})
	}
}

func TestBadSecrets(t *testing.T) {
	for _, secrets := range [][][]byte{nil, {oldSecret, []byte("short")}} {
		_, err := NewIssuer(IssuerOptions{Secrets: secrets})
		var bad *ErrBadSecret
		qt.Assert(t, err, qt.ErrorAs, &bad)
	}
}

// TestUsedKeysAgainstOracle reuses a few keys many times: no key may run two requests within its lifetime.
func TestUsedKeysAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		used := NewUsedKeys(5, time.Minute)
		oracle := map[api.IdempotencyKey]Use{}
		at := now
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "seconds")) * time.Second)
			key := rapid.SampledFrom([]api.IdempotencyKey{"a", "b", "c", "d", "e", "f", "g"}).Draw(rt, "key")
			use := Use{Fingerprint: Fingerprint{rapid.SampledFrom([]byte{1, 2}).Draw(rt, "body")}, Expires: at.Add(time.Minute)}
			first, known := oracle[key]
			known = known && at.Before(first.Expires)
			got, isFirst, err := used.RecordUse(key, use, at)
			switch {
			case IsErrTooManyKeys(err):
				if known {
					rt.Fatalf("known key %q refused for want of room", key)
				}
			case IsErrKeyReused(err):
				if known && first.Fingerprint == use.Fingerprint {
					rt.Fatalf("key %q refused as reused", key)
				}
			case isFirst && known:
				rt.Fatalf("key %q ran twice", key)
			case isFirst:
				oracle[key] = use
			case known && got != first:
				rt.Fatalf("key %q attached to another request", key)
			}
			if used.Len() > 5 {
				rt.Fatalf("%d keys remembered", used.Len())
			}
		}
	})
}

func TestReleaseFreesTheKey(t *testing.T) {
	used := NewUsedKeys(0, 0)
	_, isFirst, err := used.RecordUse("k", Use{RequestID: "r1"}, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, isFirst, qt.IsTrue)
	used.Release("k", "r2")
	_, isFirst, _ = used.RecordUse("k", Use{RequestID: "r3"}, now)
	qt.Assert(t, isFirst, qt.IsFalse)
	used.Release("k", "r1")
	_, isFirst, _ = used.RecordUse("k", Use{RequestID: "r3"}, now)
	qt.Assert(t, isFirst, qt.IsTrue)
}

// FuzzVerify checks that only keys made by the issuer are accepted.
func FuzzVerify(f *testing.F) {
	iss, err := NewIssuer(IssuerOptions{Node: "n1", Incarnation: "i1", Secrets: [][]byte{oldSecret}})
	qt.Assert(f, err, qt.IsNil)
	good := string(iss.sign("carrasco", [nonceBytes]byte{1}, now))
	f.Add(good)
	f.Add(good[:40])
	f.Add(issuedPrefix)
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := iss.Verify(api.IdempotencyKey(text), "carrasco", now); err == nil && text != good {
			t.Fatalf("accepted %q", text)
		}
		parseIssued([]byte(text))
	})
}

func BenchmarkIssueAndVerify(b *testing.B) {
	iss := issuer(b, oldSecret)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := iss.Verify(iss.Issue("carrasco", now), "carrasco", now); err != nil {
			b.Fatal(err)
		}
	}
}
