//go:build review

// Command case2 lets a request come again and again that crashes each server that begins to run it: the server sends the first event of the stream
// and is gone. Beside it callers use the same servers. The node must stop sending the request to servers soon after it has crashed the third.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/review/standin"
)

const (
	servers = 18
	callers = 24
	// events is the number of events of a stream.
	events = 10
	// deadlyPause is the time between two requests that crash servers, deadlyFor the time for which they come.
	deadlyPause = 2200 * time.Millisecond
	deadlyFor   = 20 * time.Second
	// crashAfter is the time from the first event to the crash, down the time for which a server is gone.
	crashAfter = 20 * time.Millisecond
	down       = 3 * time.Second
	// contact is the time after the third crash from which on retries count, allowed the number of retries that may.
	contact = 3 * time.Second
	allowed = 3
	calm    = 3 * time.Second

	deadlyPath = "/chat/deadly"
	// A stream of soundPath may be resumed at another server, one of oncePath may not.
	soundPath   = "/chat/sound"
	oncePath    = "/once/sound"
	deadlyParts = "c0:119,d0:79,dead0000:628"
)

func main() {
	recordPath := flag.String("record", "record.txt", "file to write")
	trouble := flag.String("trouble", "1", "0 leaves the request that crashes servers out")
	flag.Parse()
	late, err := run(*recordPath, *trouble != "0")
	switch {
	case err != nil:
		fmt.Println(err)
		os.Exit(2)
	case late > allowed:
		os.Exit(1)
	}
}

// plant holds the deployment and the crashes of its servers.
type plant struct {
	d *standin.Deployment

	mu      sync.Mutex
	crashes []time.Time
	started int
}

// options returns the options of the next server.
func (p *plant) options() platformfake.ServerOptions {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started++
	return platformfake.ServerOptions{
		ID: "i-" + strconv.Itoa(p.started), Latency: 60 * time.Millisecond, Pause: 100 * time.Millisecond, Events: events, Script: p.script,
	}
}

// script lets a server crash after the first event of the deadly request.
func (p *plant) script(run platformfake.Run) *platformfake.Script {
	if run.Path != deadlyPath {
		return nil
	}
	time.AfterFunc(crashAfter, func() {
		if p.d.Crash(run.Server, down, p.options()) {
			p.mu.Lock()
			p.crashes = append(p.crashes, time.Now())
			p.mu.Unlock()
		}
	})
	return &platformfake.Script{
		Status: http.StatusOK, Framing: framing.Chunked, Events: 1, ContentType: "text/event-stream", Close: platformfake.CloseSilent,
	}
}

func run(recordPath string, isTrouble bool) (late int, err error) {
	p := &plant{}
	var options []platformfake.ServerOptions
	for range servers {
		options = append(options, p.options())
	}
	if p.d, err = standin.Start(options...); err != nil {
		return 0, err
	}
	defer p.d.Close()
	time.Sleep(calm)
	seen := &record{ended: make(map[string]int)}
	var wait sync.WaitGroup
	stopping := make(chan struct{})
	for i := range callers {
		path := soundPath
		if i%2 == 1 {
			path = oncePath
		}
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopping:
					return
				default:
				}
				id := fmt.Sprintf("s%d-%d", i, n)
				seen.add(path, p.send(id, path, fmt.Sprintf("c0:119,e%d:79,own%s:60", i, id)))
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(calm)
	began := time.Now()
	for n := 0; time.Since(began) < deadlyFor; n++ {
		if isTrouble {
			wait.Go(func() { seen.add(deadlyPath, p.send(fmt.Sprintf("d-%d", n), deadlyPath, deadlyParts)) })
		}
		time.Sleep(deadlyPause)
	}
	time.Sleep(calm)
	close(stopping)
	wait.Wait()
	return p.judge(recordPath, seen, began)
}

// send sends a request for a stream over a connection of its own, and returns how it ended.
func (p *plant) send(id, path, parts string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.d.Callers+path, strings.NewReader("prompt of "+path))
	if err != nil {
		return err.Error()
	}
	req.Host = "app.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Key": "k1", "Deadline-Ms": "20000", "Model": "m1", "Token-Usage": "800,100", "Prompt-Prefix": parts,
	} {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK:
		return "status " + strconv.Itoa(resp.StatusCode)
	case err != nil:
		return "stream broken off"
	case string(body) != platformfake.Stream(path, events):
		return "wrong stream"
	}
	return "whole"
}

// record counts how requests ended, by path and end.
type record struct {
	mu    sync.Mutex
	ended map[string]int
}

func (r *record) add(path, end string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[path+": "+end]++
}

// judge writes the record and returns the number of retries of the deadly request that reached servers later than contact after the third crash.
func (p *plant) judge(path string, seen *record, began time.Time) (late int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out strings.Builder
	since := func(t time.Time) float64 { return t.Sub(began).Seconds() }
	for i, at := range p.crashes {
		fmt.Fprintf(&out, "crash %d at %.3f s\n", i+1, since(at))
	}
	attempts, arrivals := make(map[string]int), 0
	for _, server := range p.d.Servers() {
		for _, arrival := range server.ListArrivals() {
			if !strings.HasPrefix(arrival.ID, "d-") {
				continue
			}
			arrivals++
			isLate := len(p.crashes) >= 3 && arrival.At.Sub(p.crashes[2]) > contact
			if isLate {
				attempts[arrival.ID]++
			}
			fmt.Fprintf(&out, "%s reached %s at %.3f s, later than %v after the third crash: %t\n", arrival.ID, server.ID, since(arrival.At), contact, isLate)
		}
	}
	for _, n := range attempts {
		// The first arrival of a caller's request is no retry.
		late += n - 1
	}
	for end, n := range seen.ended {
		fmt.Fprintf(&out, "%s: %d\n", end, n)
	}
	summary := fmt.Sprintf("%d crashes, %d arrivals of the request that crashes servers, %d retries later than %v after the third crash, %d allowed; %v\n",
		len(p.crashes), arrivals, late, contact, allowed, seen.ended)
	out.WriteString(summary)
	fmt.Print(summary)
	if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
		return 0, errors.Join(standin.ErrCannotRun, err)
	}
	if seen.ended[soundPath+": whole"] == 0 {
		return 0, errors.Join(standin.ErrCannotRun, errors.New("no request was answered"))
	}
	return late, nil
}
