//go:build review

// Command 8 shows that a roll-out is completed whose new version has no servers, so that nothing serves its service any more.
package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/review/net"
)

const (
	host = "cartas.example"
	// duration is that of the roll-out, crashAfter and faultAfter are when, after the order, the new servers crash and all nodes are killed.
	duration   = 24 * time.Second
	crashAfter = 3 * time.Second
	faultAfter = 12 * time.Second
	downTime   = 1400 * time.Millisecond
	// recovery is recoveryS, watched how long requests are sent after it.
	recovery = 12 * time.Second
	watched  = 8 * time.Second
)

func main() { net.Main(play) }

func config() map[string]any {
	return map[string]any{
		"version": 7, "limits": net.Limits(),
		"routes": []any{map[string]any{
			"name": "estado", "host": host, "prefix": "/estado/", "routeType": "safe", "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2,
			"service": "despacho", "maxAttempts": 2, "public": true,
		}},
		"services": []any{map[string]any{"name": "despacho", "healthPath": "/health", "maxConnections": 110}},
	}
}

// span counts the requests sent in a part of the day, and those served.
type span struct{ sent, served int }

func play(d *net.Deployment) (int, error) {
	zones := []string{"montevideo", "canelones", "maldonado"}
	for i := range 6 {
		if err := d.AddServer(fmt.Sprintf("i-old-%d", i+1), "despacho", zones[i%3], "v1", platformfake.ServerOptions{Latency: 60 * time.Millisecond}, 6); err != nil {
			return 0, err
		}
	}
	if err := d.PutConfig(config()); err != nil {
		return 0, err
	}
	if err := d.StartNodes(zones...); err != nil {
		return 0, err
	}
	for i := range 2 {
		if err := d.AddServer(fmt.Sprintf("i-new-%d", i+1), "despacho", zones[i], "v2", platformfake.ServerOptions{Latency: 60 * time.Millisecond}, 6); err != nil {
			return 0, err
		}
	}
	order, _ := json.Marshal(map[string]any{"service": "despacho", "target": "v2", "durationS": duration.Seconds()})
	d.Store.Put("op/rollout/despacho", order)
	ordered := time.Now()
	d.Record.Printf("rollout_good: despacho is to move to v2 within %s; two servers of v2 beside six of v1", duration)
	var mu sync.Mutex
	var spans [3]span
	at := 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 4 {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				mu.Lock()
				in := at
				spans[in].sent++
				mu.Unlock()
				answer, err := d.Ask(d.Nodes[(c+k)%len(d.Nodes)], "GET", fmt.Sprintf("/estado/lote-%d-%d", c, k), host, fmt.Sprintf("r-%d-%d", c, k), "Deadline-Ms: 4000")
				mu.Lock()
				if err == nil && answer.Status == 200 {
					spans[in].served++
				}
				mu.Unlock()
			}
		})
	}
	// The operator stops the old servers as soon as the roll-out is completed.
	operator := make(chan struct{})
	go func() {
		defer close(operator)
		last := ""
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			var status struct{ State, Target string }
			if json.Unmarshal(d.Store.Get("status/rollout/despacho").Value, &status) != nil || status.State == last {
				continue
			}
			last = status.State
			d.Record.Printf("status/rollout/despacho is %s, %.1f s after the order", last, time.Since(ordered).Seconds())
			if last == "completed" {
				for i := range 6 {
					d.StopServer(fmt.Sprintf("i-old-%d", i+1), true)
				}
				d.Record.Printf("the old servers stop")
			}
		}
	}()
	time.Sleep(time.Until(ordered.Add(crashAfter)))
	if net.HasTrouble() {
		d.Record.Printf("srv_crash (gone): both servers of v2 crash and don't come back")
		for i := range 2 {
			d.StopServer(fmt.Sprintf("i-new-%d", i+1), false)
		}
	}
	time.Sleep(time.Until(ordered.Add(faultAfter)))
	d.Record.Printf("final fault: all nodes are killed (kill_all)")
	for _, n := range d.Nodes {
		n.Signal(syscall.SIGKILL)
	}
	mu.Lock()
	at = 1
	mu.Unlock()
	for _, n := range d.Nodes {
		for !n.HasEnded() {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(downTime)
	for _, n := range d.Nodes {
		if err := d.Start(n); err != nil {
			return 0, err
		}
	}
	d.Record.Printf("the nodes are back")
	time.Sleep(recovery)
	mu.Lock()
	at = 2
	mu.Unlock()
	time.Sleep(watched)
	close(stop)
	clients.Wait()
	<-operator
	before, after := spans[0], spans[2]
	d.Record.Printf("before the final fault %d of %d requests were served, later than %s after the nodes were back %d of %d", before.served, before.sent, recovery, after.served, after.sent)
	if 4*before.served >= before.sent && 4*after.served < after.sent {
		d.Record.Printf("RECOVER is broken")
		return net.Broken, nil
	}
	d.Record.Printf("RECOVER held")
	return net.Held, nil
}
