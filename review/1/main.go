//go:build review

// Command case1 sends SIGTERM to a node and, one second later, SIGHUP because its settings file has changed. Requests that the node has passed on
// to a server must still be answered.
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
	"syscall"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/review/standin"
)

const (
	callers = 16
	// work is the time that a server takes for a request.
	work = 300 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// hangUpAfter is the time from SIGTERM to SIGHUP.
	hangUpAfter = time.Second
)

func main() {
	recordPath := flag.String("record", "record.txt", "file to write")
	trouble := flag.String("trouble", "1", "0 leaves the SIGHUP out")
	flag.Parse()
	lost, err := run(*recordPath, *trouble != "0")
	switch {
	case err != nil:
		fmt.Println(err)
		os.Exit(2)
	case lost > 0:
		os.Exit(1)
	}
}

func run(recordPath string, isTrouble bool) (lost int, err error) {
	var options []platformfake.ServerOptions
	for i := range 3 {
		options = append(options, platformfake.ServerOptions{ID: "i-" + strconv.Itoa(i), Latency: work})
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
	time.Sleep(3 * time.Second)
	terminated := time.Now()
	if err := d.Node.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, errors.Join(standin.ErrCannotRun, err)
	}
	time.Sleep(hangUpAfter)
	if isTrouble {
		if err := errors.Join(d.ChangeSettings(), d.Node.Process.Signal(syscall.SIGHUP)); err != nil {
			return 0, errors.Join(standin.ErrCannotRun, err)
		}
	}
	var end string
	select {
	case err := <-d.Exited:
		end = fmt.Sprintf("process ended %.2f s after SIGTERM: %v", time.Since(terminated).Seconds(), err)
	case <-time.After(time.Until(terminated.Add(grace))):
		_ = d.Node.Process.Kill()
		end = fmt.Sprintf("process killed at the end of the grace period: %v", <-d.Exited)
	}
	close(stopping)
	wait.Wait()
	return judge(recordPath, seen.Requests(), d.PassedOn(), terminated, end)
}

// judge writes the record and returns the number of requests that were passed on to a server during the stop and got no answer.
func judge(path string, seen []standin.Request, arrived map[string]time.Time, terminated time.Time, end string) (lost int, err error) {
	var out strings.Builder
	fmt.Fprintf(&out, "times in seconds from SIGTERM\n%s\n", end)
	since := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(terminated).Seconds())
	}
	inFlight, before := 0, 0
	for _, q := range seen {
		ran, isRun := arrived[q.ID]
		if q.Ended.Before(terminated) && q.IsComplete && q.Status == http.StatusOK {
			before++
		}
		verdict := "answered"
		switch {
		case q.IsComplete:
		case !isRun:
			verdict = "no answer, not passed on"
		// The rule excuses an end at the deadline, and requests at which a server is still at work in the last sixth of the grace period.
		case q.Ended.Before(terminated), q.Ended.Sub(q.Sent) >= standin.Deadline, q.Ended.Sub(terminated) >= grace*5/6:
			verdict = "no answer, excused"
		default:
			verdict = "LOST: passed on, ran, no answer"
			lost++
		}
		if q.Sent.Before(terminated.Add(hangUpAfter)) && q.Ended.After(terminated.Add(hangUpAfter)) {
			inFlight++
		}
		if q.Ended.Before(terminated.Add(-time.Second)) && q.IsComplete {
			continue
		}
		fmt.Fprintf(&out, "%s sent %s ran %s ended %s status %d signed %t error %v: %s\n", q.ID, since(q.Sent), since(ran), since(q.Ended), q.Status,
			q.Signed, q.Err, verdict)
	}
	fmt.Fprintf(&out, "%d requests, %d of them under way one second after SIGTERM, %d lost\n", len(seen), inFlight, lost)
	fmt.Printf("%s; %d requests, %d under way at +1 s, %d lost\n", end, len(seen), inFlight, lost)
	if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
		return 0, errors.Join(standin.ErrCannotRun, err)
	}
	if inFlight == 0 || before == 0 {
		return 0, errors.Join(standin.ErrCannotRun, errors.New("no request was answered before SIGTERM, or none was under way one second after it"))
	}
	return lost, nil
}
