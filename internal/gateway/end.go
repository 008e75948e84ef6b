package gateway

import (
	"errors"
	"io"
	"os"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
)

// streamEnd describes the end of a server's stream. event is the one at which reading failed with err.
func (d *dispatcher) streamEnd(answer *upstream.Answer, event upstream.Event, err error) framing.End {
	place := framing.AfterEvent
	switch {
	case len(event.Raw) > 0:
		place = framing.WithinEvent
	case d.eventsSent == 0 && d.lastEventID == "":
		place = framing.BeforeFirstEvent
	}
	return framing.End{Framing: answer.Framing(), Place: place, Cause: endCause(err)}
}

// endCause returns the cause of the end of a body whose last read failed with err; nil stands for io.EOF.
func endCause(err error) framing.Cause {
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return framing.CauseEnd
	case errors.Is(err, os.ErrDeadlineExceeded):
		return framing.CauseSilence
	default:
		return framing.CauseBroken
	}
}

// recordEnd logs and counts how a server's answer ended.
func (d *dispatcher) recordEnd(server *backend.TrackedServer, end framing.End) {
	verdict := end.Verdict()
	d.g.opts.Metrics.Counter(metricAnswerEnds, metric.Label{Name: "service", Value: string(d.service.Name)},
		metric.Label{Name: "framing", Value: end.Framing.String()}, metric.Label{Name: "verdict", Value: verdict.String()}).Inc(1)
	if verdict == framing.Complete {
		return
	}
	d.g.opts.Log.WithFields(log.Fields{
		"request": string(d.ID), "server": string(server.ID), "offer": d.attempts, "framing": end.Framing.String(), "place": end.Place.String(),
		"cause": end.Cause.String(), "verdict": verdict.String(), "events": d.eventsSent, "last_event": d.lastEventID,
	}).Info("answer not known to be complete")
}
