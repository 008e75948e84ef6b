package billing

import (
	"google.golang.org/protobuf/proto"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
)

// ErrInvalidColumns means that the columns of a segment or total are inconsistent with each other.
type ErrInvalidColumns struct{}

// Error implements error.
func (*ErrInvalidColumns) Error() string {
	return "columns differ in length, or an index is outside the name table"
}

// EncodeSegment returns a segment in the column format of the key-value service, which takes a third of the size of a
// list of sums.
func EncodeSegment(s *billingpb.Segment) ([]byte, error) {
	return proto.Marshal(&billingpb.Segment{First: s.First, Last: s.Last, Columns: ToColumns(s.Sums, s.Keyed)})
}

// DecodeSegment decodes a segment in the column format or, as older releases write it, as a list of sums.
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

// ToColumns converts sums and keyed requests into columns.
func ToColumns(sums []*billingpb.Sum, keyed []*billingpb.Keyed) *billingpb.Columns {
	c := columns{indexes: make(map[string]uint32)}
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

// columns builds a billingpb.Columns row by row.
type columns struct {
	billingpb.Columns
	indexes map[string]uint32
}

func (c *columns) add(sum *billingpb.Sum) {
	if sum == nil {
		sum = &billingpb.Sum{}
	}
	if len(c.Teams) == 0 {
		c.Day = sum.Day
	}
	c.Teams = append(c.Teams, c.indexOf(sum.Team))
	c.Services = append(c.Services, c.indexOf(sum.Service))
	c.Models = append(c.Models, c.indexOf(sum.Model))
	c.Versions = append(c.Versions, c.indexOf(sum.Version))
	c.Days = append(c.Days, sum.Day-c.Day)
	c.Requests = append(c.Requests, sum.Requests)
	c.PromptTokens = append(c.PromptTokens, sum.PromptTokens)
	c.AnswerTokens = append(c.AnswerTokens, sum.AnswerTokens)
	c.CostMicroUsd = append(c.CostMicroUsd, sum.CostMicroUsd)
}

// indexOf returns the index of a name in the name table and adds the name if it is missing.
func (c *columns) indexOf(name string) uint32 {
	index, ok := c.indexes[name]
	if !ok {
		index = uint32(len(c.Names))
		c.indexes[name] = index
		c.Names = append(c.Names, name)
	}
	return index
}

// FromColumns is the inverse of ToColumns; nil columns give empty results. The error is ErrInvalidColumns.
func FromColumns(c *billingpb.Columns) ([]*billingpb.Sum, []*billingpb.Keyed, error) {
	if !areConsistent(c) {
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

// areConsistent reports whether the columns have matching lengths and all indexes are within the name table.
func areConsistent(c *billingpb.Columns) bool {
	count := len(c.GetTeams())
	for _, column := range [][]uint32{c.GetTeams(), c.GetServices(), c.GetModels(), c.GetVersions()} {
		if len(column) != count {
			return false
		}
		for _, index := range column {
			if int(index) >= len(c.GetNames()) {
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
