//go:build review

// Command case3 lets one of eight servers fail a part of its requests, after it has run them, with a signed 503 that does not say that the request
// was not run. Callers of requests that may run once must not get a status that promises that their request has not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/review/standin"
)

const (
	callers = 8
	// servers is the number of servers, of which one fails.
	servers = 8
	// work is the time that a server takes for a request.
	work     = 60 * time.Millisecond
	duration = 6 * time.Second
	// failurePercent is the part of its requests that the failing server fails.
	failurePercent = 45
	failing        = "i-0"
)

func main() {
	recordPath := flag.String("record", "record.txt", "file to write")
	trouble := flag.String("trouble", "1", "0 lets all servers be sound")
	flag.Parse()
	broken, err := run(*recordPath, *trouble != "0")
	switch {
	case err != nil:
		fmt.Println(err)
		os.Exit(2)
	case broken > 0:
		os.Exit(1)
	}
}

func run(recordPath string, isTrouble bool) (broken int, err error) {
	var runs atomic.Int64
	script := func(run platformfake.Run) *platformfake.Script {
		if !isTrouble || run.Server != failing || runs.Add(1)*failurePercent%100 >= failurePercent {
			return nil
		}
		return &platformfake.Script{
			Status: http.StatusServiceUnavailable, Text: "error: order booked, label not printed\n", Framing: framing.Length, IsFramedEnd: true,
		}
	}
	var options []platformfake.ServerOptions
	for i := range servers {
		options = append(options, platformfake.ServerOptions{ID: "i-" + strconv.Itoa(i), Latency: work, Script: script})
	}
	d, err := standin.Start(options...)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	seen := &standin.Record{}
	var wait sync.WaitGroup
	stopping := make(chan struct{})
	caller := standin.Caller{Address: d.Callers, Seen: seen, Stopping: stopping}
	for range callers {
		wait.Go(caller.Call)
	}
	time.Sleep(duration)
	close(stopping)
	wait.Wait()
	return judge(recordPath, seen.Requests(), d.Servers())
}

// judge writes the record and returns the number of requests that ran and were answered with a status that promises that they have not.
func judge(path string, seen []standin.Request, deployed []*standin.Server) (broken int, err error) {
	ran, orders := make(map[string]string), make(map[string]int)
	for _, server := range deployed {
		for _, run := range server.Runs() {
			ran[run.ID] += run.Server + " "
			orders[run.Path]++
		}
	}
	var out strings.Builder
	answered := 0
	for _, q := range seen {
		verdict := "kept"
		switch q.Status {
		case http.StatusOK:
			answered++
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if ran[q.ID] != "" {
				verdict = "BROKEN: status promises that the request has not run"
				broken++
			}
		}
		fmt.Fprintf(&out, "%s %s ran at %sstatus %d signed %t complete %t error %v: %s\n", q.ID, q.Path, ran[q.ID], q.Status, q.Signed, q.IsComplete, q.Err, verdict)
	}
	twice := 0
	for _, runs := range orders {
		if runs > 1 {
			twice++
		}
	}
	summary := fmt.Sprintf("%d requests, %d answered with 200, %d ran and were refused; %d orders ran twice\n", len(seen), answered, broken, twice)
	out.WriteString(summary)
	fmt.Print(summary)
	if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
		return 0, errors.Join(standin.ErrCannotRun, err)
	}
	if answered == 0 {
		return 0, errors.Join(standin.ErrCannotRun, errors.New("no request was answered"))
	}
	return broken, nil
}
