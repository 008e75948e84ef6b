// Package enginefake is a stand-in for a model engine, with switches for its faults.
// It takes all its time from the time package, so that it runs in a synctest bubble.
package enginefake

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxKept bounds the finished generations that can be resumed.
const maxKept = 4096

// Engine is a stand-in engine; it is an http.Handler.
type Engine struct {
	opts     Options
	mux      *http.ServeMux
	versions map[api.VersionID]Version

	mu  sync.Mutex
	rng *rand.Rand
	// life ends when the engine is killed or closed; a restart begins another.
	life    context.Context
	endLife context.CancelFunc
	// down is true between Kill and Restart.
	down   bool
	closed bool
	faults faults
	// loaded holds the status of every version that isn't unloaded.
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

// New starts a stand-in.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:     opts,
		versions: make(map[api.VersionID]Version, len(opts.Versions)),
		rng:      rand.New(rand.NewPCG(opts.Seed, 0)),
		role:     "Serve",
		slots:    slots{max: opts.Slots, maxQueue: max(opts.MaxQueue, 0)},
	}
	e.noteVersions()
	e.begin()
	e.mux = e.routes()
	return e
}

func (e *Engine) noteVersions() {
	for _, v := range e.opts.Versions {
		e.versions[v.ID] = v
	}
}

// Reconfigure changes the engine's size and speeds while it runs; other options and the list of versions must stay as they are.
func (e *Engine) Reconfigure(change func(opts *Options)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.opts)
	e.noteVersions()
	e.slots.max, e.slots.maxQueue = e.opts.Slots, max(e.opts.MaxQueue, 0)
	e.noteLoad()
}

// begin starts a life: nothing of an earlier one is left.
func (e *Engine) begin() {
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
	e.noteLoad()
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

// ServeHTTP implements http.Handler. While the engine is down it cuts the connection without an answer.
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

// Kill ends the engine's life: every generation and connection is lost.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
}

func (e *Engine) kill() {
	e.noteDeath()
	e.down = true
	e.endLife()
	if e.opts.OnDown != nil {
		e.opts.OnDown()
	}
}

// Restart begins another life with the versions of the start; it does nothing while the engine is up or closed.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down && !e.closed {
		e.begin()
	}
}

// IsDown reports whether the engine is killed and not restarted.
func (e *Engine) IsDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// crash kills the engine because of a request.
func (e *Engine) crash() {
	e.Kill()
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
	}
}
