package play

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/billfold"
	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/oracle"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// firstBills is how long a system may take to fold its first bills after the last answer; one that has none by
	// then keeps no bills.
	firstBills = 20 * time.Second
	// allBills is how long it may take for all of them.
	allBills = 90 * time.Second
	// billPoll is the time between two looks at the totals.
	billPoll = time.Second
	// lateBills is how long totals are watched for requests that are billed again, once all are billed.
	lateBills = 15 * time.Second
)

// awaitBills returns the totals once every answered call is billed, or what there is when the time is over.
func (p *player) awaitBills(ctx context.Context, began time.Time, results []load.Result) []oracle.Billed {
	answered := 0
	for i := range results {
		if results[i].Answered {
			answered++
		}
	}
	ended := time.Now()
	for sleep.For(ctx, billPoll) {
		billed := p.billed(ctx, began)
		waited := time.Since(ended)
		if len(billed) == 0 && waited > firstBills {
			return nil
		}
		if requestsOf(billed) >= answered || waited > allBills {
			sleep.For(ctx, lateBills)
			return p.billed(ctx, began)
		}
	}
	return nil
}

func requestsOf(billed []oracle.Billed) int {
	sum := 0
	for _, total := range billed {
		sum += total.Requests
	}
	return sum
}

// billed reads the folded totals of the days since a time; it returns none if the service can't be read now.
func (p *player) billed(ctx context.Context, since time.Time) []oracle.Billed {
	var billed []oracle.Billed
	for day := billing.DayOf(since); day <= billing.DayOf(time.Now()); day++ {
		totals, err := billfold.Totals(ctx, p.system.KV.Store(), day)
		if err != nil {
			return nil
		}
		for _, total := range totals {
			billed = append(billed, oracle.Billed{Team: total.Team, Service: total.Service, Requests: int(total.Requests)})
		}
	}
	return billed
}
