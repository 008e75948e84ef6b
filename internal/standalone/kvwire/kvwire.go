// Package kvwire defines the messages of the etcd v3 JSON gateway that this program uses.
package kvwire

import (
	"bytes"
	"strconv"
)

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Messages and codes of the service's errors that are handled separately.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeUnavailable       = 14

	MessageNoLeader        = "etcdserver: no leader"
	MessageTooManyRequests = "etcdserver: too many requests"
	MessageTooLarge        = "etcdserver: request is too large"
	MessageLeaseNotFound   = "etcdserver: requested lease not found"
	MessageDuplicateKey    = "etcdserver: duplicate key given in txn request"
	MessageTooManyOps      = "etcdserver: too many operations in txn request"
)

// Int64 is a 64-bit number, which the gateway writes as a string.
type Int64 int64

// MarshalJSON writes the number as a string.
func (i Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON reads a string or a number.
func (i *Int64) UnmarshalJSON(text []byte) error {
	n, err := strconv.ParseInt(string(bytes.Trim(text, `"`)), 10, 64)
	if err != nil {
		return err
	}
	*i = Int64(n)
	return nil
}

// Header is part of each answer; Revision is the service's current revision.
type Header struct {
	Revision Int64 `json:"revision,omitempty"`
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest asks for the keys from Key to before RangeEnd, or for Key alone.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int64  `json:"limit,omitempty"`
}

// RangeResponse answers a RangeRequest, in key order.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision Int64  `json:"mod_revision"`
}

// Values of Compare.
const (
	ResultEqual = "EQUAL"
	TargetMod   = "MOD"
)

// PutRequest sets a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease Int64  `json:"lease,omitempty"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is an atomic transaction.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// Empty is a response whose fields are not used.
type Empty struct{}

// ResponseOp is the response to one operation of a transaction; exactly one field is set.
type ResponseOp struct {
	Range  *RangeResponse `json:"response_range,omitempty"`
	Put    *Empty         `json:"response_put,omitempty"`
	Delete *Empty         `json:"response_delete_range,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest asks for a lease; TTL is in seconds.
type GrantRequest struct {
	TTL Int64 `json:"TTL"`
}

// LeaseRequest renews or revokes a lease.
type LeaseRequest struct {
	ID Int64 `json:"ID"`
}

// LeaseResponse answers a GrantRequest or a LeaseRequest; TTL is in seconds and 0 if the lease has ended.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// KeepAliveResponse is one message of the keep-alive stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest begins a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys to watch and the revision to start from.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// EventDelete is the Type of an event that deleted its key; the Type of a put is empty.
const EventDelete = "DELETE"

// Event is the change of one key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is the result within one message of a watch.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *StreamError `json:"error,omitempty"`
}

// StreamError is the error with which the service ends a stream.
type StreamError struct {
	Message string `json:"message"`
}

// ErrorResponse is the body of an answer whose status is not 200.
type ErrorResponse struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// PrefixEnd returns the range end that covers all keys with a prefix; a single zero byte means the end of all keys.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
