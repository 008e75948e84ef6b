package billing

import (
	"google.golang.org/protobuf/proto"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
)

// ErrInvalidColumns means that the columns of a segment or total don't fit each other.
type ErrInvalidColumns struct{}

// Error implements error.
func (*ErrInvalidColumns) Error() string {
	return "columns of unlike lengths, or a place without a name"
}

// EncodeSegment returns a segment as the key-value service holds it: a third of the size of its sums one by one.
func EncodeSegment(s *billingpb.Segment) ([]byte, error) {
	return proto.Marshal(&billingpb.Segment{First: s.First, Last: s.Last, Columns: ToColumns(s.Sums, s.Keyed)})
}

// DecodeSegment reads a segment, also one with sums one by one.
func DecodeSegment(value []byte) (*billingpb.Segment, error) {
	var s billingpb.Segment
	if err := proto.Unmarshal(value, &s); err != nil {
		return nil, Error.Wrap(err)
	}
	sums, keyed, err := FromColumns(s.Columns)
	if err != nil {
		return nil, err
	}
	s.Sums, s.Keyed, s.Columns = append(s.Sums, sums...), append(s.Keyed, keyed...), nil
	return &s, nil
}

// ToColumns returns sums and keyed requests in columns.
func ToColumns(sums []*billingpb.Sum, keyed []*billingpb.Keyed) *billingpb.Columns {
	c := columns{places: make(map[string]uint32)}
	for _, sum := range sums {
		c.add(sum)
	}
	for _, k := range keyed {
		c.add(k.Sum)
		var id [idBytes]byte
		copy(id[:], k.Id)
		c.Ids = append(c.Ids, id[:]...)
	}
	return &c.Columns
}

// columns are being filled.
type columns struct {
	billingpb.Columns
	places map[string]uint32
}

func (c *columns) add(sum *billingpb.Sum) {
	if sum == nil {
		sum = &billingpb.Sum{}
	}
	if len(c.Teams) == 0 {
		c.Day = sum.Day
	}
	c.Teams = append(c.Teams, c.place(sum.Team))
	c.Services = append(c.Services, c.place(sum.Service))
	c.Models = append(c.Models, c.place(sum.Model))
	c.Versions = append(c.Versions, c.place(sum.Version))
	c.Days = append(c.Days, sum.Day-c.Day)
	c.Requests = append(c.Requests, sum.Requests)
	c.PromptTokens = append(c.PromptTokens, sum.PromptTokens)
	c.AnswerTokens = append(c.AnswerTokens, sum.AnswerTokens)
	c.CostMicroUsd = append(c.CostMicroUsd, sum.CostMicroUsd)
}

// place returns the place of a name, which is added if it is new.
func (c *columns) place(name string) uint32 {
	place, ok := c.places[name]
	if !ok {
		place = uint32(len(c.Names))
		c.places[name] = place
		c.Names = append(c.Names, name)
	}
	return place
}

// FromColumns returns what ToColumns was given; nothing if there are no columns. The error is ErrBadColumns.
func FromColumns(c *billingpb.Columns) ([]*billingpb.Sum, []*billingpb.Keyed, error) {
	if !areWhole(c) {
		return nil, nil, Error.Wrap(&ErrInvalidColumns{})
	}
	count, keyed := len(c.GetTeams()), len(c.GetIds())/idBytes
	all := make([]*billingpb.Sum, count)
	for i := range all {
		all[i] = &billingpb.Sum{
			Team: c.Names[c.Teams[i]], Service: c.Names[c.Services[i]], Model: c.Names[c.Models[i]], Version: c.Names[c.Versions[i]],
			Day: c.Day + c.Days[i], Requests: c.Requests[i], PromptTokens: c.PromptTokens[i], AnswerTokens: c.AnswerTokens[i],
			CostMicroUsd: c.CostMicroUsd[i],
		}
	}
	var requests []*billingpb.Keyed
	for i, sum := range all[count-keyed:] {
		requests = append(requests, &billingpb.Keyed{Id: c.Ids[i*idBytes : (i+1)*idBytes], Sum: sum})
	}
	return all[:count-keyed], requests, nil
}

// areWhole reports whether the columns fit each other.
func areWhole(c *billingpb.Columns) bool {
	count := len(c.GetTeams())
	for _, column := range [][]uint32{c.GetTeams(), c.GetServices(), c.GetModels(), c.GetVersions()} {
		if len(column) != count {
			return false
		}
		for _, place := range column {
			if int(place) >= len(c.GetNames()) {
				return false
			}
		}
	}
	for _, column := range [][]int64{c.GetDays(), c.GetRequests(), c.GetPromptTokens(), c.GetAnswerTokens(), c.GetCostMicroUsd()} {
		if len(column) != count {
			return false
		}
	}
	return len(c.GetIds())%idBytes == 0 && len(c.GetIds())/idBytes <= count
}
