package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// headerAccept is "restart" if the caller supports restart events, after which a stream's text starts over.
const headerAccept = "Monsoonrail-Accept"

func (s *Server) chat(w http.ResponseWriter, req *http.Request, team api.Team) {
	body, problem := readBody(w, req)
	if problem != nil {
		s.rejectBeforeKeyCheck(w, req, problem)
		return
	}
	chat, problem := decodeChat(body)
	if problem != nil {
		s.rejectBeforeKeyCheck(w, req, problem)
		return
	}
	headers, problem := readHeaders(req.Header)
	if problem != nil {
		s.rejectBeforeKeyCheck(w, req, problem)
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
		FirstUse:       headers.firstUse,
		Fingerprint:    fingerprint(req, body),
		AcceptsRestart: req.Header.Get(headerAccept) == "restart",
	})
	if err != nil {
		s.rejectOrForward(w, req, body, err)
		return
	}
	if chat.Stream {
		s.streamChat(w, req, ans, ans.Attach(0))
		return
	}
	s.sendChat(w, req, ans)
}

// sendChat waits for the whole answer and sends it as one chat completion.
func (s *Server) sendChat(w http.ResponseWriter, req *http.Request, ans *answer.Answer) {
	reader := ans.Attach(0)
	defer reader.Close()
	part, text, err := reader.ReadAll(req.Context())
	if err != nil {
		s.abort(ans, reader.Offset())
	}
	if problem := partProblem(ans, part); problem != nil {
		s.reject(w, problem)
		return
	}
	setResponseHeaders(w.Header(), ans, part.Head)
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

// streamChat sends the reader's chunks as server-sent events, each with its offset as id, and closes the reader.
func (s *Server) streamChat(w http.ResponseWriter, req *http.Request, ans *answer.Answer, reader *answer.Reader) {
	defer reader.Close()
	offset, restarts := reader.Offset(), reader.Restarts()
	part, err := reader.Next(req.Context())
	if err != nil {
		s.abort(ans, offset)
	}
	if problem := partProblem(ans, part); problem != nil && len(part.Chunks) == 0 {
		s.reject(w, problem)
		return
	}
	setResponseHeaders(w.Header(), ans, part.Head)
	w.Header().Set(api.HeaderRestarts, strconv.Itoa(restarts))
	events := newEventWriter(w)
	events.writeHeader()
	s.streamParts(req.Context(), events, ans, reader, part, streamPosition{offset: offset, restarts: restarts})
}

// encodeChunk returns the event data of a chunk.
func encodeChunk(ans *answer.Answer, head answer.Head, choice api.ChatChunkChoice, usage *api.Usage) []byte {
	data, err := json.Marshal(api.ChatChunk{
		ID:      ans.ID,
		Object:  "chat.completion.chunk",
		Created: head.Created.Unix(),
		Model:   head.Version.String(),
		Choices: []api.ChatChunkChoice{choice},
		Usage:   usage,
	})
	if err != nil {
		// Unreachable: every field is of a type that can always be encoded.
		return nil
	}
	return data
}
