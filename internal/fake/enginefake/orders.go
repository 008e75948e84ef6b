package enginefake

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// LoadStatus is the state of a version on the engine.
type LoadStatus string

// States of a version; an unloaded version has none.
const (
	StatusLoading LoadStatus = "Loading"
	StatusLoaded  LoadStatus = "Loaded"
	StatusFailed  LoadStatus = "Failed"
)

// Action is the kind of an order.
type Action string

// Actions of orders.
const (
	ActionLoad   Action = "Load"
	ActionUnload Action = "Unload"
	ActionRole   Action = "Role"
)

// Order is an order that the engine received.
type Order struct {
	ID       string
	Fencing  int64
	Action   Action
	Version  api.VersionID
	Role     string
	Deadline time.Time
	// Done reports that the order was executed, not rejected.
	Done bool `json:"-"`
	// ReceivedAt is when the order arrived.
	ReceivedAt time.Time `json:"-"`
}

// Orders returns every order received, including rejected ones, the oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// serveOrder executes an order. An order names the desired state, so that repeating it changes nothing.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&order) != nil {
		(&rejection{status: http.StatusBadRequest, message: "bad order"}).write(w)
		return
	}
	e.mu.Lock()
	order.ReceivedAt = time.Now()
	rejected := e.checkOrder(order)
	order.Done = rejected == nil
	e.orders = append(e.orders, order)
	if rejected == nil {
		e.fencing = max(e.fencing, order.Fencing)
		e.execute(order)
		e.recordLoad()
	}
	highest, lost := e.fencing, e.faults.loseOrders
	e.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case rejected == nil:
		writeJSON(w, http.StatusOK, map[string]int64{"Fencing": highest})
	case rejected.status == http.StatusConflict:
		writeJSON(w, http.StatusConflict, map[string]int64{"Fencing": highest})
	default:
		rejected.write(w)
	}
}

func (e *Engine) checkOrder(order Order) *rejection {
	_, known := e.versions[order.Version]
	switch {
	case e.opts.ChecksFencing && order.Fencing < e.fencing:
		return &rejection{status: http.StatusConflict, message: "old fencing number"}
	case !order.Deadline.IsZero() && time.Now().After(order.Deadline):
		return &rejection{status: http.StatusGone, message: "deadline has passed"}
	case order.Action == ActionRole:
		return nil
	case order.Action != ActionLoad && order.Action != ActionUnload:
		return &rejection{status: http.StatusBadRequest, message: "unknown action"}
	case !known:
		return &rejection{status: http.StatusNotFound, message: "unknown version"}
	default:
		return nil
	}
}

func (e *Engine) execute(order Order) {
	switch order.Action {
	case ActionRole:
		e.role = order.Role
	case ActionUnload:
		delete(e.loaded, order.Version)
	case ActionLoad:
		if status := e.loaded[order.Version]; status == StatusLoaded || status == StatusLoading {
			return
		}
		e.loaded[order.Version] = StatusLoading
		ctx, version := e.life, e.versions[order.Version]
		e.work.Go(func() { e.load(ctx, version) })
	}
}

// load loads a version, which then has the status Loaded or Failed unless it was unloaded meanwhile.
func (e *Engine) load(ctx context.Context, version Version) {
	status := StatusLoaded
	if e.opts.FetchWeights != nil && e.opts.FetchWeights(version.ID) != nil {
		status = StatusFailed
	}
	if !sleep.For(ctx, version.LoadTime) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded[version.ID] != StatusLoading {
		return
	}
	if e.faults.failLoads {
		status = StatusFailed
	}
	e.loaded[version.ID] = status
	e.recordLoad()
}

// versionState is a version's entry in the engine's state.
type versionState struct {
	Version api.VersionID
	Status  LoadStatus
}

// state is the response body of GET /v1/state.
type state struct {
	Role     string
	Fencing  int64
	Versions []versionState
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	current := state{Role: e.role, Fencing: e.fencing, Versions: []versionState{}}
	for _, v := range e.opts.Versions {
		if status, ok := e.loaded[v.ID]; ok {
			current.Versions = append(current.Versions, versionState{Version: v.ID, Status: status})
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, current)
}
