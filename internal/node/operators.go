package node

import (
	"net/http"
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/operator"
)

// handleOperators adds the operators' API and page, and the metrics, which require an operator's key since they name teams.
func (n *Node) handleOperators(mux *http.ServeMux) error {
	keys, err := operator.ParseKeys(n.opts.Settings.Secrets.Operators)
	if err != nil {
		return Error.Wrap(err)
	}
	operators := n.operatorHandler(keys)
	for _, path := range operator.Paths() {
		mux.Handle(path, operators)
	}
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, req *http.Request) {
		key, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		if _, err := keys.Authenticate(key); err != nil {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "an operator's key is needed", http.StatusUnauthorized)
			return
		}
		n.metrics.ServeHTTP(w, req)
	})
	return nil
}

// operatorHandler returns the operators' API and page.
func (n *Node) operatorHandler(keys *operator.Keys) http.Handler {
	return operator.New(operator.Options{
		Node: n.opts.Settings.Node.NodeID(), Keys: keys, Configs: n.cluster.follower, Status: operator.StatusFrom(n.cluster.follower),
		Members: operator.MembersFrom(n.cluster.exchange), Acceptor: n.cluster.acceptor,
		History: n.cluster.changes, RollOuts: n.rollOuts, Trials: n.cluster.trials, Log: n.log,
	})
}
