package node

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/admission"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// user is a node that tells and hears of use, without the rest of it.
type user struct {
	*Node
	member   peer.Member
	topic    peer.Topic
	reporter *usageReporter
	// cut nodes reach nobody, silent ones are no longer listed, and dead ones aren't used.
	cut, silent, dead bool
	// marks holds what each other has of the node's topic.
	marks map[api.Incarnation]uint64
	used  []time.Time
}

// users are the nodes of a failure domain that talk with each other at random, one a second each.
type users struct {
	t    *testing.T
	all  []*user
	rand *rand.Rand
	runs int
}

// allowed is by how much a team may miss its share.
const allowed = 0.1

// plenty is room for all requests.
type plenty struct{}

func (plenty) MaxInFlight(api.Service) int { return math.MaxInt32 }

func (u *users) start() *user {
	u.runs++
	incarnation := api.Incarnation(fmt.Sprint("run-", u.runs))
	n := &Node{incarnation: incarnation, opts: Options{Settings: setting.Settings{Node: setting.Node{FailureDomain: "d"}}}}
	n.gate = admission.New(admission.Options{
		Capacity: plenty{}, Metrics: metric.New(), Incarnation: incarnation, FailureDomain: "d", Nodes: func() int { return len(u.all) },
	})
	started := &user{Node: n, marks: make(map[api.Incarnation]uint64), topic: n.usageTopic()}
	started.member = peer.Member{Incarnation: incarnation, FailureDomain: "d", Protocol: peer.Protocol}
	started.reporter = &usageReporter{
		gate: n.gate, self: incarnation, domain: "d", members: u.members, avoided: make(map[api.Incarnation]time.Time), metrics: metric.New(),
		tell: func(_ context.Context, to peer.Member, _ string, payload []byte) error {
			i := slices.IndexFunc(u.all, func(other *user) bool { return other.incarnation == to.Incarnation })
			if i < 0 || u.all[i].cut || started.cut {
				return Error.New("nobody there")
			}
			_, err := takenUsage{u.all[i].gate}.Merge(started.member, payload)
			return err
		},
	}
	return started
}

func (u *users) members() (members []peer.Member) {
	for _, n := range u.all {
		if !n.silent {
			members = append(members, n.member)
		}
	}
	return members
}

func (u *users) send(from, to *user) {
	payload, version := from.topic.Since(from.marks[to.incarnation], to.member, 64<<10)
	if from.cut || to.cut {
		return
	}
	from.marks[to.incarnation] = version
	if len(payload) > 0 {
		_, err := to.topic.Merge(from.member, payload)
		qt.Assert(u.t, err, qt.IsNil)
	}
}

// run lets the nodes talk, and be used by one request a second each.
func (u *users) run(d time.Duration, isUsed bool) {
	for range int(d / time.Second) {
		u.step(isUsed)
		time.Sleep(time.Second)
		for _, known := range u.known() {
			qt.Assert(u.t, known <= 1+allowed, qt.IsTrue, qt.Commentf("%v of all use", known))
		}
	}
}

// step is a second of run.
func (u *users) step(isUsed bool) {
	for i, n := range u.all {
		if isUsed && !n.dead {
			_, err := n.gate.Admit(u.t.Context(), router.AdmissionRequest{
				ID: api.RequestID(fmt.Sprint(time.Now(), i)), Team: "team", Service: "s", Weight: 1, PromptTokens: 1,
			})
			qt.Assert(u.t, err, qt.IsNil)
			n.used = append(n.used, time.Now())
		}
		if time.Now().Unix()%int64(admission.UsageInterval/time.Second) == 0 {
			n.reporter.report(u.t.Context())
		}
		if other := u.all[u.rand.IntN(len(u.all))]; other != n {
			u.send(n, other)
			u.send(other, n)
		}
	}
}

// known returns, for each node that can be reached, which part of the failure domain's use it tells others of. A request counts as a
// second of a slot.
func (u *users) known() (parts []float64) {
	truth := 0.0
	for _, n := range u.all {
		for _, at := range n.used {
			truth += math.Exp(-time.Since(at).Seconds() / 5)
		}
	}
	for _, n := range u.all {
		if n.cut {
			continue
		}
		sum := 0.0
		for _, report := range n.gate.UsageForOtherDomains(time.Now()) {
			sum += report.Usage.At(time.Now()).Seconds["team"]
		}
		parts = append(parts, sum/truth)
	}
	return parts
}

// summer returns the place of a node that adds up others' use.
func (u *users) summer() int {
	return slices.IndexFunc(u.all, func(n *user) bool {
		return slices.ContainsFunc(u.all, func(other *user) bool {
			found, ok := summerOf(other.incarnation, "d", u.members(), nil)
			return ok && found.Incarnation == n.incarnation
		})
	})
}

// TestUseReachesAll has the nodes of a large failure domain add up their use while one that adds up dies, is cut off for a while and comes
// back as another run. Then each node knows of all use within the 10% by which teams may miss their shares, and of none twice.
func TestUseReachesAll(t *testing.T) {
	faults := map[string]func(u *users, summer int){
		"dies": func(u *users, summer int) {
			u.all[summer].cut, u.all[summer].dead = true, true
			u.run(15*time.Second, true)
			u.all[summer].silent = true
		},
		"cut for seconds": func(u *users, summer int) {
			u.all[summer].cut = true
			u.run(8*time.Second, true)
			u.all[summer].cut = false
		},
		"restarts":         func(u *users, summer int) { u.all[summer] = u.start() },
		"another restarts": func(u *users, summer int) { u.all[(summer+1)%len(u.all)] = u.start() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &users{t: t, rand: rand.New(rand.NewPCG(1, 1))}
				for range 2 * maxSummers {
					u.all = append(u.all, u.start())
				}
				u.run(20*time.Second, true)
				fault(u, u.summer())
				u.run(40*time.Second, true)
				u.run(15*time.Second, false)
				for _, known := range u.known() {
					qt.Assert(t, known >= 1-allowed, qt.IsTrue, qt.Commentf("%v of all use", known))
				}
			})
		})
	}
}

// TestSummersAreFew checks who adds up whose use: few nodes, that report to nobody themselves, and none of an earlier release, of
// another failure domain or that lately took nothing.
func TestSummersAreFew(t *testing.T) {
	var members []peer.Member
	for i := range 59 {
		member := peer.Member{Incarnation: api.Incarnation(fmt.Sprint("run-", i)), FailureDomain: "d", Protocol: peer.Protocol}
		if i%4 == 0 {
			member.Protocol = peer.DirectSendProtocol - 1
		}
		members = append(members, member, peer.Member{Incarnation: api.Incarnation(fmt.Sprint("far-", i)), FailureDomain: "e", Protocol: peer.Protocol})
	}
	chosen := make(map[api.Incarnation]int)
	for _, member := range members {
		if summer, ok := summerOf(member.Incarnation, "d", members, nil); ok && member.FailureDomain == "d" {
			chosen[summer.Incarnation]++
			qt.Check(t, summer.FailureDomain, qt.Equals, api.FailureDomain("d"))
			qt.Check(t, summer.Protocol, qt.Equals, uint32(peer.Protocol))
		}
	}
	qt.Check(t, len(chosen) > 1 && len(chosen) <= maxSummers, qt.IsTrue, qt.Commentf("%v", chosen))
	for summer, reporters := range chosen {
		qt.Check(t, reporters <= 2*(59/maxSummers), qt.IsTrue, qt.Commentf("%d report to %s", reporters, summer))
		_, ok := summerOf(summer, "d", members, nil)
		qt.Check(t, ok, qt.IsFalse)
	}
	first, _ := summerOf("run-new", "d", members, nil)
	second, ok := summerOf("run-new", "d", members, map[api.Incarnation]time.Time{first.Incarnation: {}})
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, second.Incarnation, qt.Not(qt.Equals), first.Incarnation)
	// Today's deployments tell of their use themselves.
	_, ok = summerOf("run-0", "d", members[:2*maxSummers], nil)
	qt.Check(t, ok, qt.IsFalse)
}
