package play

import (
	"fmt"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/oracle"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// leavingWithin is the time after which a leaving server receives no new work.
const leavingWithin = 5 * time.Second

// leavingServers holds when servers were taken out of service.
type leavingServers struct {
	mu    sync.Mutex
	times []leavingTime
}

// leavingTime is a time in which a server leaves; to is zero while it lasts.
type leavingTime struct {
	server   api.ServerID
	from, to time.Time
}

// leave notes that a server leaves until the returned function is called.
func (l *leavingServers) leave(server api.ServerID) (joined func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := len(l.times)
	l.times = append(l.times, leavingTime{server: server, from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.times[i].to = time.Now()
	}
}

// broken describes the work that reached leaving servers too late, whether they took it on or not.
func (l *leavingServers) broken(runs []oracle.Run) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var broken []string
	for _, left := range l.times {
		count := 0
		for _, run := range runs {
			isLate := run.Server == left.server && run.At.After(left.from.Add(leavingWithin))
			if isLate && (left.to.IsZero() || run.At.Before(left.to)) {
				count++
			}
		}
		if count > 0 {
			broken = append(broken, fmt.Sprintf("Leaving: %s was handed %d calls more than %s after it began to leave", left.server, count, leavingWithin))
		}
	}
	return broken
}
