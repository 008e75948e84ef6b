package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// headerAcceptsRestart is set to "restart" by callers that can begin a stream's text anew.
const headerAcceptsRestart = "Monsoonrail-Accept"

func (s *Server) chat(w http.ResponseWriter, req *http.Request, team api.Team) {
	body, problem := readBody(w, req)
	if problem != nil {
		s.refuseEarly(w, req, problem)
		return
	}
	chat, problem := decodeChat(body)
	if problem != nil {
		s.refuseEarly(w, req, problem)
		return
	}
	headers, problem := readHeaders(req.Header)
	if problem != nil {
		s.refuseEarly(w, req, problem)
		return
	}
	ans, err := s.opts.Router.Chat(router.ChatCall{
		Team:           team,
		Service:        api.Service(req.Header.Get(api.HeaderService)),
		Class:          api.Class(req.Header.Get(api.HeaderClass)),
		Request:        chat,
		Session:        api.SessionToken(req.Header.Get(api.HeaderSession)),
		Priority:       headers.priority,
		Deadline:       headers.deadline,
		Key:            headers.key,
		FirstUse:       headers.firstTry,
		Fingerprint:    fingerprint(req, body),
		AcceptsRestart: req.Header.Get(headerAcceptsRestart) == "restart",
	})
	if err != nil {
		s.refuseOrForward(w, req, body, err)
		return
	}
	if chat.Stream {
		s.streamChat(w, req, ans, ans.Attach(0))
		return
	}
	s.wholeChat(w, req, ans)
}

// wholeChat waits for the whole answer.
func (s *Server) wholeChat(w http.ResponseWriter, req *http.Request, ans *answer.Answer) {
	reader := ans.Attach(0)
	defer reader.Close()
	part, text, err := reader.ReadAll(req.Context())
	if err != nil {
		s.abort(ans, reader.Offset())
	}
	if problem := partProblem(ans, part); problem != nil {
		s.refuse(w, problem)
		return
	}
	setAnswerHeaders(w.Header(), ans, part.Head)
	writeJSON(w, http.StatusOK, api.ChatCompletion{
		ID:      ans.ID,
		Object:  "chat.completion",
		Created: part.Head.Created.Unix(),
		Model:   part.Head.Version.String(),
		Choices: []api.ChatChoice{{
			Message:      api.ChatMessage{Role: "assistant", Content: string(text)},
			FinishReason: part.Tail.FinishReason,
		}},
		Usage: part.Tail.Usage,
	})
}

// streamChat sends what a reader reads as server-sent events, each with its offset as id, and closes the reader.
func (s *Server) streamChat(w http.ResponseWriter, req *http.Request, ans *answer.Answer, reader *answer.Reader) {
	defer reader.Close()
	offset, restarts := reader.Offset(), reader.Restarts()
	part, err := reader.Next(req.Context())
	if err != nil {
		s.abort(ans, offset)
	}
	if problem := partProblem(ans, part); problem != nil && len(part.Chunks) == 0 {
		s.refuse(w, problem)
		return
	}
	setAnswerHeaders(w.Header(), ans, part.Head)
	w.Header().Set(api.HeaderRestarts, strconv.Itoa(restarts))
	events := newEventWriter(w)
	events.start()
	s.streamParts(req.Context(), events, ans, reader, part, position{offset: offset, restarts: restarts})
}

// chunkOf returns the event data of one chunk.
func chunkOf(ans *answer.Answer, head answer.Head, choice api.ChatChunkChoice, usage *api.Usage) []byte {
	data, err := json.Marshal(api.ChatChunk{
		ID:      ans.ID,
		Object:  "chat.completion.chunk",
		Created: head.Created.Unix(),
		Model:   head.Version.String(),
		Choices: []api.ChatChunkChoice{choice},
		Usage:   usage,
	})
	if err != nil {
		// Every field is a plain value, so that encoding can't fail.
		return nil
	}
	return data
}
