package billing

import (
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
)

const (
	// maxRuns is the number of runs above which the older half of a backlog is merged pairwise.
	maxRuns = 2048
	// maxSegmentSums bounds the sums and keyed requests of a segment, which keeps it under the key-value service's
	// limit of 1 MB.
	maxSegmentSums = 4096
)

// backlog holds the batches of one incarnation that are not yet written in a segment, in order and without gaps.
type backlog struct {
	// runs are ranges of consecutive batches; each range begins right after the previous one.
	runs []*billingpb.Segment
	// next is the number of the first batch that is not yet written.
	next uint64
	// sums counts the sums and keyed requests of all runs.
	sums int
}

// last returns the number of the last batch, or next-1 if the backlog is empty.
func (b *backlog) last() uint64 {
	if b.isEmpty() {
		return b.next - 1
	}
	return b.runs[len(b.runs)-1].Last
}

// append adds the run that follows the last batch.
func (b *backlog) append(run *billingpb.Segment) {
	b.runs = append(b.runs, run)
	b.sums += sizeOf(run)
	if len(b.runs) > maxRuns {
		b.compact()
	}
}

// compact merges the older half of the runs pairwise, as long as a merged run fits into a segment.
func (b *backlog) compact() {
	half := len(b.runs) / 2
	kept := make([]*billingpb.Segment, 0, len(b.runs))
	for _, run := range b.runs[:half] {
		if n := len(kept); n > 0 && fitsSegment(kept[n-1], run) && kept[n-1].Last-kept[n-1].First <= run.Last-run.First {
			merged := merge(kept[n-1], run)
			b.sums += sizeOf(merged) - sizeOf(kept[n-1]) - sizeOf(run)
			kept[n-1] = merged
			continue
		}
		kept = append(kept, run)
	}
	b.runs = append(kept, b.runs[half:]...)
}

// trim drops the batches before next because they are already written. A run that begins before next and ends after it
// can't be split and is dropped as a whole, so that nothing is billed twice; lost is the number of its batches that
// were not written.
func (b *backlog) trim(next uint64) (lost uint64) {
	if next <= b.next {
		return 0
	}
	b.next = next
	for len(b.runs) > 0 && b.runs[0].First < next {
		if last := b.runs[0].Last; last >= next {
			lost = last - next + 1
			b.next = last + 1
		}
		b.sums -= sizeOf(b.runs[0])
		b.runs = b.runs[1:]
	}
	return lost
}

// isEmpty reports whether all batches are written.
func (b *backlog) isEmpty() bool { return len(b.runs) == 0 }

// segment returns the oldest batches merged into one segment, or nil if the backlog is empty.
func (b *backlog) segment() *billingpb.Segment {
	if b.isEmpty() {
		return nil
	}
	count, size := 1, sizeOf(b.runs[0])
	for count < len(b.runs) && size+sizeOf(b.runs[count]) <= maxSegmentSums {
		size += sizeOf(b.runs[count])
		count++
	}
	return merge(b.runs[:count]...)
}

// sizeOf counts the sums and keyed requests of a segment.
func sizeOf(s *billingpb.Segment) int { return len(s.Sums) + len(s.Keyed) }

func fitsSegment(a, b *billingpb.Segment) bool { return sizeOf(a)+sizeOf(b) <= maxSegmentSums }
