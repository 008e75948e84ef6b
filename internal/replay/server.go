package replay

import (
	"container/heap"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// server is a simulated server: slots, a queue by priority, and a prefix cache that forgets the least recently used.
type server struct {
	truth   TrueServer
	running []*job
	queue   []*job
	// cache holds prefixes, the most recently used last.
	cache       []cachedPrefix
	cacheTokens api.Tokens
	// busy is the time that slots were held, over all slots.
	busy time.Duration
	// slow divides the server's speed; 0 means 1.
	slow float64
}

type cachedPrefix struct {
	hash   uint64
	tokens api.Tokens
}

// job is one run of a request on a server.
type job struct {
	request *request
	version int
	server  int
	ends    time.Duration
	// queuedAt is when the job came to the server, began when it got a slot.
	queuedAt, began time.Duration
	// firstToken is the time from began to the first token.
	firstToken time.Duration
	hit        bool
	run        balance.AttemptID
}

// decoding is the time from the first token to the whole answer.
func (j *job) decoding() time.Duration { return j.ends - j.began - j.firstToken }

func (s *server) hasCached(hash uint64) bool {
	return slices.ContainsFunc(s.cache, func(c cachedPrefix) bool { return c.hash == hash })
}

// serviceTime returns how long a request holds a slot.
func (s *server) serviceTime(r *request, version *TrueVersion, cached bool) time.Duration {
	seconds := float64(r.entry.AnswerTokens) / (answerRate * s.speed() * version.Speed)
	return s.promptTime(r, cached) + time.Duration(seconds*float64(time.Second))
}

// promptTime returns how long the server reads a prompt.
func (s *server) promptTime(r *request, cached bool) time.Duration {
	prompt := float64(r.entry.PromptTokens)
	if cached {
		prompt -= float64(r.entry.PrefixTokens)
	}
	return time.Duration(prompt / (promptRate * s.speed()) * float64(time.Second))
}

// speed is the server's present speed.
func (s *server) speed() float64 {
	if s.slow > 0 {
		return s.truth.Speed / s.slow
	}
	return s.truth.Speed
}

// enqueue puts a job behind those of its priority and above.
func (s *server) enqueue(j *job) {
	i := len(s.queue)
	for i > 0 && s.queue[i-1].request.priority() < j.request.priority() {
		i--
	}
	s.queue = slices.Insert(s.queue, i, j)
}

// start gives a free slot to the first queued job; it returns nil if there is no slot or no job.
func (s *server) start(now time.Duration, versions []TrueVersion) (j *job, evicted []uint64) {
	if len(s.running) >= s.truth.Slots || len(s.queue) == 0 {
		return nil, nil
	}
	j = s.queue[0]
	s.queue = slices.Delete(s.queue, 0, 1)
	j.began = now
	if j.request.prefix != 0 {
		j.hit = s.hasCached(j.request.prefix)
		evicted = s.use(j.request.prefix, j.request.entry.PrefixTokens)
	}
	service := s.serviceTime(j.request, &versions[j.version], j.hit)
	j.firstToken = s.promptTime(j.request, j.hit)
	j.ends = now + service
	s.busy += service
	s.running = append(s.running, j)
	return j, evicted
}

// use puts a prefix at the recent end of the cache and returns the prefixes that had to go.
func (s *server) use(hash uint64, tokens api.Tokens) (evicted []uint64) {
	s.cache = slices.DeleteFunc(s.cache, func(c cachedPrefix) bool {
		if c.hash == hash {
			s.cacheTokens -= c.tokens
		}
		return c.hash == hash
	})
	s.cache = append(s.cache, cachedPrefix{hash, tokens})
	s.cacheTokens += tokens
	for s.cacheTokens > s.truth.CacheTokens && len(s.cache) > 1 {
		evicted = append(evicted, s.cache[0].hash)
		s.cacheTokens -= s.cache[0].tokens
		s.cache = slices.Delete(s.cache, 0, 1)
	}
	return evicted
}

func (s *server) finish(j *job) {
	i := slices.Index(s.running, j)
	s.running = slices.Delete(s.running, i, i+1)
}

// trueEnd returns when a request would end if it were sent to the server now, as if nothing were sent after it.
func (s *server) trueEnd(r *request, version int, now time.Duration, versions []TrueVersion) time.Duration {
	own := s.serviceTime(r, &versions[version], r.prefix != 0 && s.hasCached(r.prefix))
	if len(s.running) < s.truth.Slots {
		return now + own
	}
	free := make(durationHeap, 0, len(s.running))
	for _, j := range s.running {
		free = append(free, j.ends)
	}
	heap.Init(&free)
	for _, j := range s.queue {
		if j.request.priority() < r.priority() {
			break
		}
		cached := j.request.prefix != 0 && s.hasCached(j.request.prefix)
		free[0] += s.serviceTime(j.request, &versions[j.version], cached)
		heap.Fix(&free, 0)
	}
	return free[0] + own
}

// durationHeap is a heap of times.
type durationHeap []time.Duration

func (h durationHeap) Len() int           { return len(h) }
func (h durationHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h durationHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *durationHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop implements heap.Interface.
func (h *durationHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
