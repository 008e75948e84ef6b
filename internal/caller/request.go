package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxMessages bounds the messages of a conversation.
	maxMessages = 1000
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// maxDeadlineSeconds is the most whole seconds that a time.Duration can represent.
	maxDeadlineSeconds = int(math.MaxInt64 / time.Second)
	// initialBodyBytes bounds the buffer that is allocated for a body before it is read.
	initialBodyBytes = 16 << 10
	// targetBufferBytes is the total length of method, path and query up to which they are hashed without an allocation.
	targetBufferBytes = 256
	// maxAnswerTokens bounds max_tokens.
	maxAnswerTokens = 1 << 20
)

func badRequest(format string, args ...any) *api.Problem {
	return api.NewProblem(api.ReasonBadRequest, http.StatusBadRequest, api.OutcomeNotRun, fmt.Sprintf(format, args...))
}

// readBody reads a whole body, limited by maxBodyBytes and bodyTimeout.
func readBody(w http.ResponseWriter, req *http.Request) ([]byte, *api.Problem) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body := bytes.NewBuffer(make([]byte, 0, min(max(req.ContentLength, 0), initialBodyBytes)+bytes.MinRead))
	_, err := body.ReadFrom(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, bodyProblem(err)
	}
	return body.Bytes(), nil
}

func bodyProblem(err error) *api.Problem {
	if connguard.IsErrNoRoom(err) {
		problem := api.NewProblem(api.ReasonOverloaded, http.StatusServiceUnavailable, api.OutcomeNotRun, "no memory left for the body")
		problem.RetryAfter = time.Second
		return problem
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return api.NewProblem(api.ReasonTooLarge, http.StatusRequestEntityTooLarge, api.OutcomeNotRun,
			fmt.Sprintf("body is over %d bytes", maxBodyBytes))
	}
	return badRequest("body ended early or came too slowly: %v", err)
}

// decodeChat parses and validates a chat request; unknown fields and trailing data are rejected.
func decodeChat(body []byte) (api.ChatRequest, *api.Problem) {
	var chat api.ChatRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&chat); err != nil {
		return chat, badRequest("body is no chat request: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return chat, badRequest("body holds more than one JSON value")
	}
	return chat, checkChat(chat)
}

func checkChat(chat api.ChatRequest) *api.Problem {
	switch {
	case chat.Model == "":
		return badRequest("model is missing; %q leaves the choice to the router", api.ModelAuto)
	case len(chat.Messages) == 0:
		return badRequest("messages is missing or empty")
	case len(chat.Messages) > maxMessages:
		return badRequest("messages holds more than %d messages", maxMessages)
	case chat.MaxTokens < 0 || chat.MaxTokens > maxAnswerTokens:
		return badRequest("max_tokens must be from 0 to %d", maxAnswerTokens)
	}
	for i, message := range chat.Messages {
		if message.Role == "" {
			return badRequest("messages[%d].role is missing", i)
		}
	}
	return nil
}

// callHeaders holds the validated values of a call's headers.
type callHeaders struct {
	deadline time.Duration
	priority api.Priority
	key      api.IdempotencyKey
	// firstUse means that the caller asserts that it has never sent the key before.
	firstUse bool
}

func readHeaders(header http.Header) (callHeaders, *api.Problem) {
	deadline, problem := readDeadline(header.Get(api.HeaderDeadline))
	if problem != nil {
		return callHeaders{}, problem
	}
	priority, problem := readPriority(header.Get(api.HeaderPriority))
	if problem != nil {
		return callHeaders{}, problem
	}
	key := header.Get(api.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return callHeaders{}, badRequest("%s is over %d bytes", api.HeaderIdempotencyKey, maxKeyBytes)
	}
	return callHeaders{deadline: deadline, priority: priority, key: api.IdempotencyKey(key), firstUse: isFirstUse(header)}, nil
}

func isFirstUse(header http.Header) bool { return header.Get(api.HeaderAttempt) == "1" }

func readDeadline(text string) (time.Duration, *api.Problem) {
	if text == "" {
		return 0, nil
	}
	deadline, err := time.ParseDuration(text)
	if seconds, numErr := strconv.Atoi(text); numErr == nil {
		// Larger values are clamped without effect, since the policy limits deadlines to far less.
		deadline = time.Duration(min(seconds, maxDeadlineSeconds)) * time.Second
		err = nil
	}
	if err != nil || deadline <= 0 {
		return 0, badRequest("%s must be a positive duration such as 30s, or whole seconds", api.HeaderDeadline)
	}
	return deadline, nil
}

func readPriority(text string) (api.Priority, *api.Problem) {
	switch text {
	case "", "normal":
		return api.PriorityNormal, nil
	case "high":
		return api.PriorityHigh, nil
	case "low":
		return api.PriorityLow, nil
	default:
		return 0, badRequest("%s must be high, normal or low", api.HeaderPriority)
	}
}

// fingerprint hashes method, path, query and body, by which two requests with one idempotency key are compared.
func fingerprint(req *http.Request, body []byte) answer.Fingerprint {
	var buffer [targetBufferBytes]byte
	target := append(append(buffer[:0], req.Method...), ' ')
	target = append(append(target, req.URL.EscapedPath()...), '?')
	target = append(append(target, req.URL.RawQuery...), '\n')
	digest := sha256.New()
	digest.Write(target)
	digest.Write(body)
	var sum answer.Fingerprint
	digest.Sum(sum[:0])
	return sum
}
