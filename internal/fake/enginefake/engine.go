// Package enginefake is a fake model engine with fault injection.
// It uses only the time package for time, so that it runs in a synctest bubble.
package enginefake

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxFinished bounds the finished generations that are kept to be resumed.
const maxFinished = 4096

// Engine is a fake model engine; it implements http.Handler.
type Engine struct {
	opts     Options
	mux      *http.ServeMux
	versions map[api.VersionID]Version

	mu  sync.Mutex
	rng *rand.Rand
	// life is canceled when the engine is killed or closed; a restart creates another.
	life    context.Context
	endLife context.CancelFunc
	// down is true between Kill and Restart.
	down   bool
	closed bool
	faults faults
	// loaded holds the status of every version except unloaded ones.
	loaded      map[api.VersionID]LoadStatus
	role        string
	fencing     int64
	orders      []Order
	generations map[api.RequestID]*generation
	// finished lists the ids of finished generations, the oldest first.
	finished []api.RequestID
	slots    slots
	loads    []load
	cache    *cache
	runs     []Run

	// work counts generations and loads; Close waits for them.
	work sync.WaitGroup
}

// New starts an engine.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:     opts,
		versions: make(map[api.VersionID]Version, len(opts.Versions)),
		rng:      rand.New(rand.NewPCG(opts.Seed, 0)),
		role:     "Serve",
		slots:    slots{max: opts.Slots, maxQueue: max(opts.MaxQueue, 0)},
	}
	e.indexVersions()
	e.startLife()
	e.mux = e.routes()
	return e
}

func (e *Engine) indexVersions() {
	for _, v := range e.opts.Versions {
		e.versions[v.ID] = v
	}
}

// Reconfigure changes the engine's capacity and speeds while it runs; other options and the list of versions must not change.
func (e *Engine) Reconfigure(change func(opts *Options)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.opts)
	e.indexVersions()
	e.slots.max, e.slots.maxQueue = e.opts.Slots, max(e.opts.MaxQueue, 0)
	e.recordLoad()
}

// startLife starts the engine with fresh state; Engine.mu is held except in New.
func (e *Engine) startLife() {
	e.life, e.endLife = context.WithCancel(context.Background())
	e.down = false
	e.generations = make(map[api.RequestID]*generation)
	e.finished = nil
	e.loads = nil
	e.cache = newCache(max(e.opts.CacheBlocks, 0))
	e.loaded = make(map[api.VersionID]LoadStatus, len(e.opts.Versions))
	for _, v := range e.opts.Versions {
		e.loaded[v.ID] = StatusLoaded
	}
	for _, id := range e.opts.Unloaded {
		delete(e.loaded, id)
	}
	e.recordLoad()
	if e.opts.OnUp != nil {
		e.opts.OnUp()
	}
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("DELETE /v1/requests/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/state", e.serveState)
	mux.HandleFunc("POST /v1/kvcache/export", e.serveExport)
	mux.HandleFunc("POST /v1/kvcache/import", e.serveImport)
	return mux
}

// ServeHTTP implements http.Handler. While the engine is down, it breaks connections without a response.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down, life := e.down, e.life
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
	if life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// ID returns the server's id.
func (e *Engine) ID() api.ServerID { return e.opts.ID }

// Close stops the engine and waits for its generations.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.kill()
	e.mu.Unlock()
	e.work.Wait()
}

// Kill stops the engine as a crash does: every generation and connection is lost.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
}

func (e *Engine) kill() {
	e.markCrashedRuns()
	e.down = true
	e.endLife()
	if e.opts.OnDown != nil {
		e.opts.OnDown()
	}
}

// Restart starts a killed engine with its initial versions; it does nothing while the engine is up or closed.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down && !e.closed {
		e.startLife()
	}
}

// IsDown reports whether the engine was killed and not restarted.
func (e *Engine) IsDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// crash kills the engine because of a request with script.CrashMarker and calls OnCrash.
func (e *Engine) crash() {
	e.Kill()
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
	}
}
