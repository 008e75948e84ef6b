package sse

import (
	"bytes"
	"slices"
)

// fieldOverhead is the number of bytes of an event's field names and line ends if its data is a single line.
const fieldOverhead = len("id: \nevent: \ndata: \n\n")

// Append appends the encoded event to dst and returns the extended buffer. ID and Event must not contain line ends.
func Append(dst []byte, event Event) []byte {
	dst = slices.Grow(dst, len(event.ID)+len(event.Event)+len(event.Data)+fieldOverhead)
	if event.ID != "" {
		dst = appendField(dst, "id", event.ID)
	}
	if event.Event != "" {
		dst = appendField(dst, "event", event.Event)
	}
	for line := range bytes.SplitSeq(event.Data, []byte("\n")) {
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
	}
	return append(dst, '\n')
}

func appendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, '\n')
}
