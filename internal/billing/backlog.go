package billing

import (
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
)

const (
	// maxPieces is the number of pieces above which the older half of a backlog is merged two by two.
	maxPieces = 2048
	// maxSegmentSums bounds the sums and keyed lines of a segment, so that it stays under the service's limit of a
	// megabyte.
	maxSegmentSums = 4096
)

// backlog holds the batches of one incarnation that are in no segment yet, in order and without gaps.
type backlog struct {
	// pieces are runs of batches; each begins right after the one before.
	pieces []*billingpb.Segment
	// next is the number of the first batch that is in no segment.
	next uint64
	// sums counts the sums and keyed lines of all pieces.
	sums int
}

// last returns the number of the last batch; next-1 if there is none.
func (b *backlog) last() uint64 {
	if b.isEmpty() {
		return b.next - 1
	}
	return b.pieces[len(b.pieces)-1].Last
}

// append adds the run that follows the last batch.
func (b *backlog) append(piece *billingpb.Segment) {
	b.pieces = append(b.pieces, piece)
	b.sums += sizeOf(piece)
	if len(b.pieces) > maxPieces {
		b.compact()
	}
}

// compact merges the older half two by two, as far as the pieces stay small enough for a segment.
func (b *backlog) compact() {
	half := len(b.pieces) / 2
	kept := make([]*billingpb.Segment, 0, len(b.pieces))
	for _, piece := range b.pieces[:half] {
		if n := len(kept); n > 0 && isSmall(kept[n-1], piece) && kept[n-1].Last-kept[n-1].First <= piece.Last-piece.First {
			merged := merge(kept[n-1], piece)
			b.sums += sizeOf(merged) - sizeOf(kept[n-1]) - sizeOf(piece)
			kept[n-1] = merged
			continue
		}
		kept = append(kept, piece)
	}
	b.pieces = append(kept, b.pieces[half:]...)
}

// trim forgets the batches before next, and returns how many batches it had to forget that are in no segment: a
// piece that begins before next and ends after it can't be split, and is never billed twice.
func (b *backlog) trim(next uint64) (lost uint64) {
	if next <= b.next {
		return 0
	}
	b.next = next
	for len(b.pieces) > 0 && b.pieces[0].First < next {
		if last := b.pieces[0].Last; last >= next {
			lost = last - next + 1
			b.next = last + 1
		}
		b.sums -= sizeOf(b.pieces[0])
		b.pieces = b.pieces[1:]
	}
	return lost
}

// isEmpty reports whether all batches are in segments.
func (b *backlog) isEmpty() bool { return len(b.pieces) == 0 }

// segment returns the oldest batches as one segment, or nil if there are none.
func (b *backlog) segment() *billingpb.Segment {
	if b.isEmpty() {
		return nil
	}
	count, size := 1, sizeOf(b.pieces[0])
	for count < len(b.pieces) && size+sizeOf(b.pieces[count]) <= maxSegmentSums {
		size += sizeOf(b.pieces[count])
		count++
	}
	return merge(b.pieces[:count]...)
}

// sizeOf counts the sums and keyed lines of a segment.
func sizeOf(s *billingpb.Segment) int { return len(s.Sums) + len(s.Keyed) }

func isSmall(a, b *billingpb.Segment) bool { return sizeOf(a)+sizeOf(b) <= maxSegmentSums }
