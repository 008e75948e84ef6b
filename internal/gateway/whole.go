package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
)

const (
	// maxWholeBytes bounds an answer that is read whole before the caller gets any of it.
	maxWholeBytes = 4 << 20
	// maxDrainBytes bounds what is read of an answer that nobody gets, to keep its connection.
	maxDrainBytes = 16 << 10
)

// wholeAnswer is a server's answer, read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// whole reads an answer to its end and hands it on, so that a caller never gets a part of one.
func (r *run) whole(member *backend.TrackedServer, answer *upstream.Answer, offered time.Time) verdict {
	read, err := readWhole(answer)
	if err != nil {
		return r.failed(member, err, offered)
	}
	member.RecordSuccess()
	r.observe(member, versionrollout.Outcome{Pace: versionrollout.Pace(time.Since(offered), 0, 0)})
	r.send(read)
	r.countOffer(member, offerAnswered)
	r.finish("request answered", "")
	return verdictDone
}

// serverFailed takes in a server's own failure: another server may do better where the request may be repeated.
func (r *run) serverFailed(member *backend.TrackedServer, answer *upstream.Answer, info AnswerInfo, offered time.Time) verdict {
	read, err := readWhole(answer)
	if err != nil || !info.IsSigned {
		if err == nil {
			err = upstream.Error.Wrap(&upstream.ErrNoAnswer{Cause: &errUnsigned{status: answer.Status}})
		}
		return r.failed(member, err, offered)
	}
	isServers := read.status >= http.StatusInternalServerError
	r.observe(member, versionrollout.Outcome{IsFailure: isServers})
	r.countOffer(member, offerFailed)
	if isServers {
		member.RecordErrorAnswer()
	}
	if isServers && r.route.MayRepeat() {
		r.lastFailure = read
		return verdictMayHaveRun
	}
	if !r.hasHead {
		r.send(read)
		r.finish("request answered", "server's failure")
	}
	return verdictDone
}

// errUnsigned means that a failure came from something other than the server.
type errUnsigned struct{ status int }

func (e *errUnsigned) Error() string { return "unsigned answer with status " + strconv.Itoa(e.status) }

func readWhole(answer *upstream.Answer) (*wholeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeBytes))
	if err != nil {
		return nil, upstream.Error.Wrap(&upstream.ErrNoAnswer{Cause: err})
	}
	if len(body) == maxWholeBytes {
		return nil, upstream.Error.Wrap(&upstream.ErrEventTooLarge{MaxBytes: maxWholeBytes})
	}
	return &wholeAnswer{status: answer.Status, header: answer.Header, body: body}, nil
}

// send gives the caller a whole answer.
func (r *run) send(answer *wholeAnswer) {
	copyAnswerHeader(r.w.Header(), answer.header)
	r.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	r.w.WriteHeader(answer.status)
	// A caller that has left is seen by the end of its context.
	_, _ = r.w.Write(answer.body)
}

// drain reads a short answer to its end, so that its connection can be kept.
func drain(answer *upstream.Answer) {
	// The answer's Close ends the connection where this fails.
	_, _ = io.CopyN(io.Discard, answer.Body, maxDrainBytes)
}
