package play

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/oracle"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// inForceWithin is the time after which an accepted change is in force everywhere.
	inForceWithin = 11 * time.Second
	// operatorPause is the time between two tries of an operator whose change was not accepted.
	operatorPause = time.Second
	// acceptTimeout bounds one try.
	acceptTimeout = 5 * time.Second
)

// badTime is a time in which a version's answers were bad; to is zero while it lasts.
type badTime struct {
	version  api.VersionID
	from, to time.Time
}

// withdrawn is a version that an operator withdrew, and when that was accepted.
type withdrawn struct {
	version api.VersionID
	at      time.Time
}

// versionFaults holds when versions turned bad and were withdrawn.
type versionFaults struct {
	mu        sync.Mutex
	bad       []badTime
	withdrawn []withdrawn
	// refused holds the versions whose withdrawal no node accepted while the trace was played.
	refused []api.VersionID
}

// turnBad notes that a version's answers are bad until the returned function is called.
func (f *versionFaults) turnBad(version api.VersionID) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.bad)
	f.bad = append(f.bad, badTime{version: version, from: time.Now()})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.bad[i].to = time.Now()
	}
}

// exposure counts the chats that began on a version while it was bad and that it answered.
func (f *versionFaults) exposure(seen oracle.Seen) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	exposed := make(map[string]bool)
	for _, run := range seen.Runs {
		for _, bad := range f.bad {
			if run.Began && run.Version == bad.version && run.At.After(bad.from) && (bad.to.IsZero() || run.At.Before(bad.to)) {
				exposed[run.Call] = true
			}
		}
	}
	count := 0
	for i := range seen.Results {
		result := &seen.Results[i]
		for _, bad := range f.bad {
			if result.Answered && result.Version == bad.version && exposed[result.Call] {
				count++
				break
			}
		}
	}
	return count
}

// broken describes every run that began on a version after its withdrawal had to be in force.
func (f *versionFaults) broken(seen oracle.Seen) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []string
	for _, version := range f.refused {
		broken = append(broken, fmt.Sprintf("Withdraw: no node accepted the withdrawal of %s", version))
	}
	for _, gone := range f.withdrawn {
		count := 0
		for _, run := range seen.Runs {
			if run.Began && run.Version == gone.version && run.At.After(gone.at.Add(inForceWithin)) {
				count++
			}
		}
		if count > 0 {
			broken = append(broken, fmt.Sprintf("Withdrawn: %d runs on %s more than %s after its withdrawal", count, gone.version, inForceWithin))
		}
	}
	return broken
}

// withdraw has an operator withdraw a version for good, through one node after the other until one has it accepted.
func (p *player) withdraw(ctx context.Context, planned trace.Fault, draw uint64) (fault, error) {
	version := api.ParseVersionID(planned.Target)
	if version.Version == "" {
		return fault{}, Error.Wrap(&ErrUnknownTarget{Kind: planned.Kind, Target: planned.Target})
	}
	id := fleet.ChangeID(fmt.Sprintf("play-%s-%s", version.Model, version.Version))
	for i := int(draw % uint64(p.nodes())); ctx.Err() == nil; i = (i + 1) % p.nodes() {
		if p.acceptWithdrawal(ctx, i, id, version) {
			p.versions.mu.Lock()
			p.versions.withdrawn = append(p.versions.withdrawn, withdrawn{version: version, at: time.Now()})
			p.versions.mu.Unlock()
			return fault{text: version.String() + " withdrawn"}, nil
		}
		sleep.For(ctx, operatorPause)
	}
	p.versions.mu.Lock()
	defer p.versions.mu.Unlock()
	p.versions.refused = append(p.versions.refused, version)
	return fault{}, Error.Wrap(ctx.Err())
}

func (p *player) acceptWithdrawal(ctx context.Context, i int, id fleet.ChangeID, version api.VersionID) bool {
	running := p.system.Node(i)
	if running == nil || running.Configs().State().Config == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	_, err := running.Acceptor().Accept(ctx, dev.Withdrawal(running, id, version, "the version is at its end"))
	return err == nil
}
