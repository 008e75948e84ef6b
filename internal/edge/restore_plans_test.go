package edge_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	restorePlans    = flag.Int("restore-plans", 20, "number of drawn plans of restores of the store")
	restorePlanSeed = flag.Uint64("restore-plan-seed", 1, "seed of the first plan")
)

const (
	// revocationDelay is the time from the revocation of a key until no node may accept it.
	revocationDelay = 5 * time.Second
	// maxCopies bounds the copies of the store that a plan may restore.
	maxCopies = 6
	// restartGap is the shortest time between two restarts, so that some node always knows what the store has lost.
	restartGap = 4 * time.Second
)

// restorePlan draws changes of operators, restores of the store from copies of different age, cuts and restarts.
type restorePlan struct {
	*testFleet
	random *rand.Rand
	log    []string
	// version is the configuration's, whose only key is key-VERSION; revokedAt holds when the keys of the earlier ones were revoked.
	version   int
	revokedAt []time.Time
	// order is the current roll-out order, number the count of orders; the roll-out must have ended by orderEnds.
	order     []byte
	number    int
	orderEnds time.Time
	copies    []func()
	// isRestoring is set from an outage of the store until operators have written again what it lost.
	isRestoring atomic.Bool
	restartedAt time.Time
	// streams counts the streams that give evidence of the version to which the current order moves the service.
	streams int
}

// streamSteps is the number of steps between two streams.
const streamSteps = 4

// sendStream sends a stream through the next node.
func (p *restorePlan) sendStream() {
	p.streams++
	req := p.request(context.Background(), p.streams%len(p.nodes), fmt.Sprint("stream-", p.streams), "/s/1", "")
	req.Header.Set("Key", fmt.Sprintf("key-%d", p.version))
	go func() {
		if resp, err := p.client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}()
}

// startTarget has the second model server run the version of the current order.
func (p *restorePlan) startTarget() {
	p.store.Put("servers/m1", []byte(strings.Replace(string(entry("models", "10.1.0.2:80", "ready")), `"v1"`, fmt.Sprintf(`"v%d"`, p.number), 1)))
}

func (p *restorePlan) note(format string, args ...any) {
	p.log = append(p.log, fmt.Sprintf("%v ", time.Since(p.startedAt))+fmt.Sprintf(format, args...))
}

func (p *restorePlan) seconds(most float64) time.Duration {
	return time.Duration(p.random.Float64() * most * float64(time.Second))
}

func (p *restorePlan) configure() {
	p.version++
	p.revokedAt = append(p.revokedAt, time.Now())
	p.note("configuration %d", p.version)
	p.store.Put("op/config", configurationVersion(p.version, fmt.Sprintf("key-%d", p.version)))
}

func (p *restorePlan) rollOut() {
	p.number++
	length := 8 + p.random.IntN(12)
	p.note("order %d, %d s", p.number, length)
	p.order = fmt.Appendf(nil, `{"service":"models","target":"v%d","durationS":%d}`, p.number, length)
	p.orderEnds = time.Now().Add(time.Duration(length) * time.Second)
	p.startTarget()
	p.store.Put("op/rollout/models", p.order)
}

// restore restores a drawn copy; operators write again what it lacks.
func (p *restorePlan) restore() {
	down, rewritten := p.seconds(2), p.seconds(1.5)
	restore := p.copies[p.random.IntN(len(p.copies))]
	p.note("restored after %v, written again after %v", down, rewritten)
	config, order := configurationVersion(p.version, fmt.Sprintf("key-%d", p.version)), p.order
	p.isRestoring.Store(true)
	p.store.SetDown(true)
	time.AfterFunc(down, func() {
		restore()
		p.store.SetDown(false)
	})
	time.AfterFunc(down+rewritten, func() {
		p.store.Put("op/config", config)
		p.startTarget()
		p.store.Put("op/rollout/models", order)
		p.isRestoring.Store(false)
	})
}

// step draws one event.
func (p *restorePlan) step() {
	node := p.random.IntN(len(p.nodes))
	ip := p.nodes[node].ip
	switch event := p.random.IntN(8); {
	case event < 2 && !p.isRestoring.Load():
		p.configure()
	case event == 2 && !p.isRestoring.Load() && time.Now().After(p.orderEnds):
		p.rollOut()
	case event == 3 && !p.isRestoring.Load():
		p.restore()
	case event == 4:
		heals := p.seconds(4)
		p.note("%s cut from the store for %v", ip, heals)
		p.network.Cut(ip, storeIP)
		time.AfterFunc(heals, func() { p.network.Heal(ip, storeIP) })
	case event == 5 && time.Since(p.restartedAt) > restartGap:
		p.note("%s restarts", ip)
		p.restartedAt = time.Now()
		p.nodes[node].stop()
		for isEnded := false; !isEnded; {
			select {
			case <-p.nodes[node].done:
				isEnded = true
			case <-time.After(streamSteps * planStep):
				p.sendStream()
			}
		}
		p.start(ip)
		p.nodes[node], p.nodes = p.nodes[len(p.nodes)-1], p.nodes[:len(p.nodes)-1]
	case !p.isRestoring.Load():
		p.copies = append(p.copies, p.store.Snapshot())
		p.copies = p.copies[max(0, len(p.copies)-maxCopies):]
	}
}

// checkRevoked sends a request with a revoked key to each node.
func (p *restorePlan) checkRevoked() {
	version := 1 + p.random.IntN(p.version)
	if version > len(p.revokedAt) || time.Since(p.revokedAt[version-1]) < revocationDelay {
		return
	}
	key := fmt.Sprintf("key-%d", version)
	for node := range p.nodes {
		got := p.send(context.Background(), node, "/r/1", key)
		if got.status == http.StatusOK && !p.c.Failed() {
			p.note("%s accepts %s", p.nodes[node].ip, key)
			p.c.Errorf("a revoked key is accepted\n%q", p.log)
		}
	}
}

// TestDrawnRestores restores the store from copies of different age while operators change the configuration and order roll-outs, and nodes are
// cut off and restart: a revoked key stays revoked, and each roll-out ends in time.
func TestDrawnRestores(t *testing.T) {
	plans := *restorePlans
	if testing.Short() {
		plans = min(plans, maxShortPlans)
	}
	for i := range plans {
		seed := *restorePlanSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				p := &restorePlan{testFleet: f, random: rand.New(rand.NewPCG(seed, 1)), version: 1}
				f.store.Put("op/config", configuration("key-1"))
				f.start("10.0.0.3")
				time.Sleep(startTime)
				p.rollOut()
				p.copies = append(p.copies, f.store.Snapshot())
				for at := time.Duration(0); at < 2*planTime; at += planStep {
					if p.random.IntN(15) == 0 {
						p.step()
					}
					p.checkRevoked()
					if at%(streamSteps*planStep) == 0 {
						p.sendStream()
					}
					time.Sleep(planStep)
				}
				for end := time.Now().Add(recoveryTime + max(0, time.Until(p.orderEnds))); time.Now().Before(end); {
					p.sendStream()
					time.Sleep(streamSteps * planStep)
				}
				time.Sleep(recoveryTime)
				status := string(f.store.Get("status/rollout/models").Value)
				f.c.Check(status, qt.Equals, fmt.Sprintf(`{"state":"completed","target":"v%d","service":"models"}`, p.number), qt.Commentf("%q", p.log))
				for node := range f.nodes {
					f.c.Check(f.send(context.Background(), node, "/r/1", fmt.Sprintf("key-%d", p.version)).status, qt.Equals, http.StatusOK, qt.Commentf("%q", p.log))
				}
			})
		})
	}
}
