package vmlist_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/vmlistfake"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func server(id string) vmlist.VM {
	return vmlist.VM{ID: id, Address: "10.1.0.1:80", FailureDomain: "wm-cov", Role: vmlist.RoleServer, Service: "tutor-llm", State: vmlist.StateLive}
}

func inBubble(t *testing.T, list *vmlistfake.Service, f func(c *qt.C, poller *vmlist.Poller)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		l, err := network.Host("10.0.0.2").Listen(context.Background(), ":80")
		c.Assert(err, qt.IsNil)
		web := &http.Server{Handler: list}
		go func() { _ = web.Serve(l) }()
		transport := tcp.NewTransport(network.Host("10.0.0.1"))
		poller := vmlist.NewPoller(vmlist.PollerOptions{
			Client: standalone.NewVMList("http://10.0.0.2:80", &http.Client{Transport: transport}),
			Rand:   rand.New(rand.NewPCG(1, 2)),
			Log:    &log.Logger{Handler: discard.New()},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- poller.Run(ctx) }()
		defer func() {
			cancel()
			c.Check(<-done, qt.Equals, context.Canceled)
			transport.CloseIdleConnections()
			_ = web.Close()
			time.Sleep(time.Second)
		}()
		f(c, poller)
	})
}

func ids(poller *vmlist.Poller) string {
	snapshot, _ := poller.Snapshot()
	text := ""
	for _, s := range snapshot.Servers {
		text += string(s.ID)
		if s.Leaving {
			text += "!"
		}
		text += " "
	}
	return text
}

func TestPollerFollowsChanges(t *testing.T) {
	list := vmlistfake.New(server("b"), server("a"), vmlist.VM{ID: "n", Address: "10.0.0.9:80", Role: vmlist.RoleEntry})
	inBubble(t, list, func(c *qt.C, poller *vmlist.Poller) {
		_, changed := poller.Snapshot()
		<-changed
		c.Assert(ids(poller), qt.Equals, "a b ")
		snapshot, changed := poller.Snapshot()
		c.Assert(snapshot.Nodes, qt.HasLen, 1)
		list.SetLag(10 * time.Second)
		list.SetState("a", vmlist.StateLeaving)
		began := time.Now()
		<-changed
		c.Assert(ids(poller), qt.Equals, "a! b ")
		c.Assert(time.Since(began) >= 10*time.Second, qt.IsTrue)
		c.Assert(time.Since(began) < 13*time.Second, qt.IsTrue)
	})
}

// TestPollerKeepsTheLastList covers an outage, a platform slower than the client's timeout and a list that is older than the
// current one.
func TestPollerKeepsTheLastList(t *testing.T) {
	list := vmlistfake.New(server("a"))
	inBubble(t, list, func(c *qt.C, poller *vmlist.Poller) {
		_, changed := poller.Snapshot()
		<-changed
		list.SetOutage(true)
		list.Remove("a")
		time.Sleep(time.Minute)
		c.Assert(ids(poller), qt.Equals, "a ")
		list.SetOutage(false)
		list.SetLatency(6 * time.Second)
		time.Sleep(time.Minute)
		c.Assert(ids(poller), qt.Equals, "a ")
		list.SetLatency(0)
		time.Sleep(10 * time.Second)
		c.Assert(ids(poller), qt.Equals, "")
		list.SetLag(time.Hour)
		time.Sleep(time.Minute)
		c.Assert(ids(poller), qt.Equals, "")
	})
}

// TestPollerKeepsItsRate changes a list of 12,000 servers repeatedly and checks the transfer rate of the reads.
func TestPollerKeepsItsRate(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var vms []vmlist.VM
	for i := range 12_000 {
		vm := server(fmt.Sprintf("server-%05d", i))
		vm.Address = fmt.Sprintf("10.%d.%d.%d:8000", random.IntN(256), random.IntN(256), random.IntN(256))
		vm.FailureDomain = api.FailureDomain(fmt.Sprintf("domain-%d", random.IntN(10)))
		vms = append(vms, vm)
	}
	list := vmlistfake.New(vms...)
	inBubble(t, list, func(c *qt.C, poller *vmlist.Poller) {
		const minutes = 8
		_, changed := poller.Snapshot()
		<-changed
		size := list.Transferred()
		for range minutes {
			list.Put(vms[0])
			time.Sleep(time.Minute)
		}
		c.Logf("a list takes %d bytes, %d were read in %d minutes", size, list.Transferred(), minutes)
		// One list more than the rate allows may be in transfer.
		c.Assert(list.Transferred() <= 2*size+minutes*60*vmlist.DefaultBytesPerSecond, qt.IsTrue)
		c.Assert(list.Transferred() > size, qt.IsTrue)
	})
}
