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

// States of a version; one that isn't loaded has none.
const (
	StatusLoading LoadStatus = "Loading"
	StatusLoaded  LoadStatus = "Loaded"
	StatusFailed  LoadStatus = "Failed"
)

// Action is what an order asks for.
type Action string

// Actions of orders.
const (
	ActionLoad   Action = "Load"
	ActionUnload Action = "Unload"
	ActionRole   Action = "Role"
)

// Order is an order as it was received.
type Order struct {
	ID       string
	Fencing  int64
	Action   Action
	Version  api.VersionID
	Role     string
	Deadline time.Time
	// Done tells that the order was carried out, not refused.
	Done bool `json:"-"`
	// ReceivedAt is when the order arrived.
	ReceivedAt time.Time `json:"-"`
}

// Orders returns every order received, refused ones too, the oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// serveOrder carries out an order, which names a state to be in.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&order) != nil {
		(&refusal{status: http.StatusBadRequest, message: "bad order"}).write(w)
		return
	}
	e.mu.Lock()
	order.ReceivedAt = time.Now()
	refused := e.refuseOrder(order)
	order.Done = refused == nil
	e.orders = append(e.orders, order)
	if refused == nil {
		e.fencing = max(e.fencing, order.Fencing)
		e.carryOut(order)
		e.noteLoad()
	}
	highest, lost := e.fencing, e.faults.loseOrders
	e.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case refused == nil:
		writeJSON(w, http.StatusOK, map[string]int64{"Fencing": highest})
	case refused.status == http.StatusConflict:
		writeJSON(w, http.StatusConflict, map[string]int64{"Fencing": highest})
	default:
		refused.write(w)
	}
}

func (e *Engine) refuseOrder(order Order) *refusal {
	_, known := e.versions[order.Version]
	switch {
	case e.opts.ChecksFencing && order.Fencing < e.fencing:
		return &refusal{status: http.StatusConflict, message: "old fencing number"}
	case !order.Deadline.IsZero() && time.Now().After(order.Deadline):
		return &refusal{status: http.StatusGone, message: "deadline has passed"}
	case order.Action == ActionRole:
		return nil
	case order.Action != ActionLoad && order.Action != ActionUnload:
		return &refusal{status: http.StatusBadRequest, message: "unknown action"}
	case !known:
		return &refusal{status: http.StatusNotFound, message: "unknown version"}
	default:
		return nil
	}
}

func (e *Engine) carryOut(order Order) {
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

// load ends in one of the states Loaded and Failed, unless the version is unloaded meanwhile.
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
	e.noteLoad()
}

// versionState is a version's entry in the engine's state.
type versionState struct {
	Version api.VersionID
	Status  LoadStatus
}

// state is the answer of GET /v1/state.
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
