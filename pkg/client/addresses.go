package client

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// lookupTimeout bounds the question for addresses to one node.
	lookupTimeout = 2 * time.Second
	// defaultKeep is how long addresses are kept where the answer doesn't say.
	defaultKeep = 10 * time.Second
	// retryLookup is how long old addresses go on being used after a failed look-up.
	retryLookup = time.Second
	// nearness is the factor by which each failure domain weighs more than the next one.
	nearness = 16
)

// book keeps the addresses of nodes.
type book struct {
	opts Options

	// looking holds a value while nodes are asked, so that one question is open at a time.
	looking chan struct{}

	mu        sync.Mutex
	addresses []api.Address
	until     time.Time
	// avoid holds until when a node is tried last.
	avoid map[string]time.Time
}

func newBook(opts Options) *book {
	return &book{opts: opts, looking: make(chan struct{}, 1), avoid: make(map[string]time.Time)}
}

// Addresses returns the nodes to connect to, nearest first, asking for them if they are no longer kept.
func (c *Client) Addresses(ctx context.Context) ([]api.Address, error) { return c.book.current(ctx) }

// current returns the kept addresses; old ones are better than none.
func (b *book) current(ctx context.Context) ([]api.Address, error) {
	if kept, fresh := b.kept(); fresh {
		return kept, nil
	}
	select {
	case b.looking <- struct{}{}:
	case <-ctx.Done():
		return nil, Error.Wrap(&ErrNoAddress{Cause: ctx.Err()})
	}
	defer func() { <-b.looking }()
	kept, fresh := b.kept()
	if fresh {
		return kept, nil
	}
	found, err := b.lookUp(ctx, kept)
	if err != nil && len(kept) == 0 {
		return nil, Error.Wrap(&ErrNoAddress{Cause: err})
	}
	if err != nil {
		found = api.Addresses{Addresses: kept, KeepSeconds: int(retryLookup / time.Second)}
	}
	b.keep(found)
	return found.Addresses, nil
}

func (b *book) kept() ([]api.Address, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses, len(b.addresses) > 0 && time.Now().Before(b.until)
}

func (b *book) keep(found api.Addresses) {
	keep := time.Duration(found.KeepSeconds) * time.Second
	if keep <= 0 {
		keep = defaultKeep
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = found.Addresses
	b.until = time.Now().Add(keep)
}

// lookUp asks the nodes known so far, then those of the options.
func (b *book) lookUp(ctx context.Context, kept []api.Address) (api.Addresses, error) {
	var bases []string
	for _, address := range b.ordered(kept) {
		bases = append(bases, address.URL)
	}
	for _, base := range b.opts.Nodes {
		if !slices.Contains(bases, base) {
			bases = append(bases, base)
		}
	}
	var last error
	for _, base := range bases {
		found, err := b.ask(ctx, base)
		if err == nil {
			return found, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return api.Addresses{}, last
}

func (b *book) ask(ctx context.Context, base string) (api.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	target := base + "/v1/addresses"
	if b.opts.FailureDomain != "" {
		target += "?" + url.Values{"failure_domain": {string(b.opts.FailureDomain)}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return api.Addresses{}, &ErrConnection{Cause: err}
	}
	request.Header.Set("Authorization", "Bearer "+b.opts.Key)
	response, err := b.opts.HTTP.Do(request)
	if err != nil {
		return api.Addresses{}, &ErrConnection{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return api.Addresses{}, readProblem(response)
	}
	var found api.Addresses
	if err := json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes*16)).Decode(&found); err != nil {
		return api.Addresses{}, &ErrBadAnswer{Detail: err.Error()}
	}
	if len(found.Addresses) == 0 {
		return api.Addresses{}, &ErrBadAnswer{Detail: "no addresses"}
	}
	return found, nil
}

// avoidNode makes a node the last choice for a while.
func (b *book) avoidNode(address api.Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.avoid[address.URL] = now.Add(avoidFor)
	b.until = minTime(b.until, now.Add(retryLookup))
	if !slices.ContainsFunc(b.addresses, func(a api.Address) bool { return avoided(b.avoid, a, now) == 0 }) {
		b.until = now
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// ordered puts avoided nodes last.
func (b *book) ordered(addresses []api.Address) []api.Address {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	ordered := slices.Clone(addresses)
	slices.SortStableFunc(ordered, func(x, y api.Address) int {
		return avoided(b.avoid, x, now) - avoided(b.avoid, y, now)
	})
	return ordered
}

func avoided(avoid map[string]time.Time, address api.Address, now time.Time) int {
	if now.Before(avoid[address.URL]) {
		return 1
	}
	return 0
}

// pick chooses a node by weight and nearness, one that was not tried if there is one.
func (b *book) pick(ctx context.Context, tried []api.Address) (api.Address, error) {
	addresses, err := b.current(ctx)
	if err != nil {
		return api.Address{}, err
	}
	ordered := b.ordered(addresses)
	fresh := slices.DeleteFunc(slices.Clone(ordered), func(a api.Address) bool {
		return slices.ContainsFunc(tried, func(t api.Address) bool { return t.URL == a.URL })
	})
	if len(fresh) == 0 {
		fresh = ordered
	}
	return draw(b.withoutAvoided(fresh), rand.Float64()), nil
}

// withoutAvoided drops avoided nodes unless no other is left.
func (b *book) withoutAvoided(addresses []api.Address) []api.Address {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	good := slices.DeleteFunc(slices.Clone(addresses), func(a api.Address) bool { return avoided(b.avoid, a, now) > 0 })
	if len(good) == 0 {
		return addresses
	}
	return good
}

// draw picks an address: the first failure domain weighs most, and within one its weight counts.
func draw(addresses []api.Address, random float64) api.Address {
	weights := make([]float64, len(addresses))
	var domains []api.FailureDomain
	total := 0.0
	for i, address := range addresses {
		if !slices.Contains(domains, address.FailureDomain) {
			domains = append(domains, address.FailureDomain)
		}
		weights[i] = address.Weight
		for range slices.Index(domains, address.FailureDomain) {
			weights[i] /= nearness
		}
		total += weights[i]
	}
	left := random * total
	for i, weight := range weights {
		left -= weight
		if left < 0 {
			return addresses[i]
		}
	}
	return addresses[len(addresses)-1]
}
