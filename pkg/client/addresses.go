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
	// lookupTimeout bounds a request for addresses or keys to one node.
	lookupTimeout = 2 * time.Second
	// defaultAddressLifetime is how long addresses are cached if the answer has no KeepSeconds.
	defaultAddressLifetime = 10 * time.Second
	// lookupRetryInterval is how long expired addresses are used before the next lookup, after a failed lookup or an unreachable node.
	lookupRetryInterval = time.Second
	// domainWeightFactor is the ratio of the weights of a failure domain and the next farther one.
	domainWeightFactor = 16
)

// addressBook caches the addresses of nodes and chooses among them.
type addressBook struct {
	opts Options

	// lookupInProgress is a semaphore that allows one lookup at a time.
	lookupInProgress chan struct{}

	mu        sync.Mutex
	addresses []api.Address
	expiresAt time.Time
	// avoidUntil holds, by URL, the time until which a node is used only if no other is left.
	avoidUntil map[string]time.Time
}

func newAddressBook(opts Options) *addressBook {
	return &addressBook{opts: opts, lookupInProgress: make(chan struct{}, 1), avoidUntil: make(map[string]time.Time)}
}

// Addresses returns the nodes to connect to, nearest failure domain first. It looks them up if the cached ones have expired.
func (c *Client) Addresses(ctx context.Context) ([]api.Address, error) {
	return c.addresses.current(ctx)
}

// current returns the cached addresses, or looks them up if they have expired; if the lookup fails it returns the expired ones.
func (b *addressBook) current(ctx context.Context) ([]api.Address, error) {
	if cached, valid := b.cached(); valid {
		return cached, nil
	}
	select {
	case b.lookupInProgress <- struct{}{}:
	case <-ctx.Done():
		return nil, Error.Wrap(&ErrNoAddress{Cause: ctx.Err()})
	}
	defer func() { <-b.lookupInProgress }()
	cached, valid := b.cached()
	if valid {
		return cached, nil
	}
	found, err := b.lookUp(ctx, cached)
	if err != nil && len(cached) == 0 {
		return nil, Error.Wrap(&ErrNoAddress{Cause: err})
	}
	if err != nil {
		found = api.Addresses{Addresses: cached, KeepSeconds: int(lookupRetryInterval / time.Second)}
	}
	b.store(found)
	return found.Addresses, nil
}

func (b *addressBook) cached() ([]api.Address, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses, len(b.addresses) > 0 && time.Now().Before(b.expiresAt)
}

func (b *addressBook) store(found api.Addresses) {
	lifetime := time.Duration(found.KeepSeconds) * time.Second
	if lifetime <= 0 {
		lifetime = defaultAddressLifetime
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = found.Addresses
	b.expiresAt = time.Now().Add(lifetime)
}

// lookUp requests the addresses from the cached nodes, then from those of the options, until one answers.
func (b *addressBook) lookUp(ctx context.Context, cached []api.Address) (api.Addresses, error) {
	var bases []string
	for _, address := range b.ordered(cached) {
		bases = append(bases, address.URL)
	}
	for _, base := range b.opts.Nodes {
		if !slices.Contains(bases, base) {
			bases = append(bases, base)
		}
	}
	var last error
	for _, base := range bases {
		found, err := b.fetch(ctx, base)
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

func (b *addressBook) fetch(ctx context.Context, base string) (api.Addresses, error) {
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

// avoidNode makes a node the last choice for avoidDuration, and the next lookup earlier; it is due at once if all nodes are avoided.
func (b *addressBook) avoidNode(address api.Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.avoidUntil[address.URL] = now.Add(avoidDuration)
	b.expiresAt = minTime(b.expiresAt, now.Add(lookupRetryInterval))
	if !slices.ContainsFunc(b.addresses, func(a api.Address) bool { return avoidRank(b.avoidUntil, a, now) == 0 }) {
		b.expiresAt = now
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// ordered returns the addresses with avoided nodes last.
func (b *addressBook) ordered(addresses []api.Address) []api.Address {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	ordered := slices.Clone(addresses)
	slices.SortStableFunc(ordered, func(x, y api.Address) int {
		return avoidRank(b.avoidUntil, x, now) - avoidRank(b.avoidUntil, y, now)
	})
	return ordered
}

// avoidRank returns 1 for an address that is avoided at the time now, and 0 for any other.
func avoidRank(avoidUntil map[string]time.Time, address api.Address, now time.Time) int {
	if now.Before(avoidUntil[address.URL]) {
		return 1
	}
	return 0
}

// pick chooses a random node by failure domain and weight; nodes in tried are chosen only if there is no other.
func (b *addressBook) pick(ctx context.Context, tried []api.Address) (api.Address, error) {
	addresses, err := b.current(ctx)
	if err != nil {
		return api.Address{}, err
	}
	ordered := b.ordered(addresses)
	untried := slices.DeleteFunc(slices.Clone(ordered), func(a api.Address) bool {
		return slices.ContainsFunc(tried, func(t api.Address) bool { return t.URL == a.URL })
	})
	if len(untried) == 0 {
		untried = ordered
	}
	return pickWeighted(b.withoutAvoided(untried), rand.Float64()), nil
}

// withoutAvoided returns the addresses without avoided nodes, or all if every node is avoided.
func (b *addressBook) withoutAvoided(addresses []api.Address) []api.Address {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	remaining := slices.DeleteFunc(slices.Clone(addresses), func(a api.Address) bool { return avoidRank(b.avoidUntil, a, now) > 0 })
	if len(remaining) == 0 {
		return addresses
	}
	return remaining
}

// pickWeighted picks an address with a random number in [0, 1). Its probability is proportional to its weight, reduced by
// domainWeightFactor for each failure domain that precedes its own.
func pickWeighted(addresses []api.Address, random float64) api.Address {
	weights := make([]float64, len(addresses))
	var domains []api.FailureDomain
	total := 0.0
	for i, address := range addresses {
		if !slices.Contains(domains, address.FailureDomain) {
			domains = append(domains, address.FailureDomain)
		}
		weights[i] = address.Weight
		for range slices.Index(domains, address.FailureDomain) {
			weights[i] /= domainWeightFactor
		}
		total += weights[i]
	}
	remaining := random * total
	for i, weight := range weights {
		remaining -= weight
		if remaining < 0 {
			return addresses[i]
		}
	}
	return addresses[len(addresses)-1]
}
