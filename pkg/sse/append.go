package sse

import (
	"bytes"
	"slices"
)

// fieldBytes is what the names of an event's fields and its line ends take, but for further lines of data.
const fieldBytes = len("id: \nevent: \ndata: \n\n")

// Append appends an event's wire form to a buffer. ID and Event must hold no line ends.
func Append(to []byte, event Event) []byte {
	to = slices.Grow(to, len(event.ID)+len(event.Event)+len(event.Data)+fieldBytes)
	if event.ID != "" {
		to = appendField(to, "id", event.ID)
	}
	if event.Event != "" {
		to = appendField(to, "event", event.Event)
	}
	for line := range bytes.SplitSeq(event.Data, []byte("\n")) {
		to = append(to, "data: "...)
		to = append(to, line...)
		to = append(to, '\n')
	}
	return append(to, '\n')
}

func appendField(to []byte, name, value string) []byte {
	to = append(to, name...)
	to = append(to, ": "...)
	to = append(to, value...)
	return append(to, '\n')
}
