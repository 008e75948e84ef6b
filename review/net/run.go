//go:build review

package net

import (
	"bufio"
	"fmt"
	"io"
	stdnet "net"
	"net/http"
	"os"
	"strings"
	"time"
)

// Outcomes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// HasTrouble reports whether the case plays its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case: the arguments are the program, a folder for its files and the path of the record.
func Main(play func(d *Deployment) (outcome int, err error)) {
	os.Exit(func() int {
		if len(os.Args) != 4 {
			return CantRun
		}
		record, err := NewRecord(os.Args[3])
		if err != nil {
			return CantRun
		}
		d := New(os.Args[1], os.Args[2], record)
		defer d.Close()
		outcome, err := play(d)
		if err != nil {
			record.Printf("could not run: %v", err)
			return CantRun
		}
		for _, n := range d.Nodes {
			if n.HasEnded() {
				record.Printf("could not run: %s has ended", n.Name)
				return CantRun
			}
		}
		return outcome
	}())
}

// StartNodes starts a node in each zone, and waits until all are ready and in touch.
func (d *Deployment) StartNodes(zones ...string) error {
	if err := d.AddNodes(zones...); err != nil {
		return err
	}
	for _, n := range d.Nodes {
		if err := d.Start(n); err != nil {
			return err
		}
	}
	if err := d.AwaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// Answer is what a client got.
type Answer struct {
	Status    int
	Signature string
	Body      string
}

// Send is Ask with a line in the record.
func (d *Deployment) Send(n *Node, method, target, host, id string, header ...string) (Answer, error) {
	d.Record.Printf("client sends %s: %s %s %s to %s", id, method, target, strings.Join(header, ", "), n.Name)
	answer, err := d.Ask(n, method, target, host, id, header...)
	if err != nil {
		d.Record.Printf("%s gets no answer: %v", id, err)
		return answer, err
	}
	d.Record.Printf("%s gets %d, signature %q, body %q", id, answer.Status, answer.Signature, answer.Body)
	return answer, nil
}

// Ask sends a request without a body on a connection of its own and reads the answer.
func (d *Deployment) Ask(n *Node, method, target, host, id string, header ...string) (Answer, error) {
	conn, err := stdnet.DialTimeout("tcp", n.Front, time.Second)
	if err != nil {
		return Answer{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	lines := append([]string{method + " " + target + " HTTP/1.1", "Host: " + host, "Attempt-Id: " + id}, header...)
	if _, err := fmt.Fprintf(conn, "%s\r\n\r\n", strings.Join(lines, "\r\n")); err != nil {
		return Answer{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return Answer{}, err
	}
	text, _ := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Signature: resp.Header.Get("Server-Signature"), Body: string(text)}, nil
}

// RecordRuns adds all runs of the servers to the record, and returns the servers' ids by the ids of the requests that they ran.
func (d *Deployment) RecordRuns() map[string][]string {
	ran := make(map[string][]string)
	for id, server := range d.Servers {
		for _, run := range server.Runs() {
			d.Record.Printf("server %s ran %s: %s, tenant %q", id, run.ID, run.Path, run.Tenant)
			ran[run.ID] = append(ran[run.ID], id)
		}
	}
	return ran
}

// Limits are those of the small sites' configurations.
func Limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}
