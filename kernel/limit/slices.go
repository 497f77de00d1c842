package limit

import (
	"fmt"
	"iter"
	"math/bits"
	"strconv"
	"strings"
)

const (
	// SliceCount is the number of slices. Which slices the limits of a workspace are
	// divided among follows from its name, so halls that know different
	// configurations agree on it.
	SliceCount = 1000
	// slicesPerWorkspace is the number of equal slices into which the limits of a
	// workspace are divided. With few, a hall's part of a small workspace is still a
	// whole token; with more than one, a hall that is lost takes only part of the
	// workspace's rate with it.
	slicesPerWorkspace = 4

	wordBits = 64
)

// SliceSet is a set of slices, numbered from 0 to SliceCount-1. The zero value is
// empty.
type SliceSet struct {
	words [(SliceCount + wordBits - 1) / wordBits]uint64
}

// AllSlices returns the set of all slices.
func AllSlices() SliceSet { return sliceRange(0, SliceCount-1) }

func sliceRange(first, last int) SliceSet {
	set := SliceSet{}
	for slice := first; slice <= last; slice++ {
		set.words[slice/wordBits] |= 1 << (slice % wordBits)
	}
	return set
}

// Has reports whether the set contains a slice.
func (s SliceSet) Has(slice int) bool {
	return s.words[slice/wordBits]&(1<<(slice%wordBits)) != 0
}

// All returns the slices in ascending order.
func (s SliceSet) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for index, word := range s.words {
			for ; word != 0; word &= word - 1 {
				if !yield(index*wordBits + bits.TrailingZeros64(word)) {
					return
				}
			}
		}
	}
}

// Len returns the number of slices in the set.
func (s SliceSet) Len() int {
	count := 0
	for _, word := range s.words {
		count += bits.OnesCount64(word)
	}
	return count
}

// Parts returns the size of the set in parts of TotalParts.
func (s SliceSet) Parts() int64 { return int64(s.Len()) * TotalParts / SliceCount }

// Fraction returns the fraction of a workspace's limits that the set stands for.
func (s SliceSet) Fraction(workspace string) float64 {
	count := 0
	for _, slice := range workspaceSlices(workspace) {
		if s.Has(slice) {
			count++
		}
	}
	return float64(count) / slicesPerWorkspace
}

// Union returns the slices that are in either set.
func (s SliceSet) Union(other SliceSet) SliceSet {
	for index := range s.words {
		s.words[index] |= other.words[index]
	}
	return s
}

// Intersect returns the slices that are in both sets.
func (s SliceSet) Intersect(other SliceSet) SliceSet {
	for index := range s.words {
		s.words[index] &= other.words[index]
	}
	return s
}

// Without returns the slices that are not in the other set.
func (s SliceSet) Without(other SliceSet) SliceSet {
	for index := range s.words {
		s.words[index] &^= other.words[index]
	}
	return s
}

// Last returns the n slices of the set with the highest numbers, or all if there are
// fewer.
func (s SliceSet) Last(n int) SliceSet {
	last := SliceSet{}
	for slice := SliceCount - 1; slice >= 0 && n > 0; slice-- {
		if s.Has(slice) {
			last.words[slice/wordBits] |= 1 << (slice % wordBits)
			n--
		}
	}
	return last
}

// String returns the ranges of the set, such as "0-39,70".
func (s SliceSet) String() string {
	var ranges []string
	for slice := 0; slice < SliceCount; slice++ {
		if !s.Has(slice) {
			continue
		}
		first := slice
		for slice+1 < SliceCount && s.Has(slice+1) {
			slice++
		}
		if slice == first {
			ranges = append(ranges, strconv.Itoa(first))
			continue
		}
		ranges = append(ranges, fmt.Sprintf("%d-%d", first, slice))
	}
	return strings.Join(ranges, ",")
}

// MarshalText encodes the set as String does.
func (s SliceSet) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the ranges of a set.
func (s *SliceSet) UnmarshalText(text []byte) error {
	set := SliceSet{}
	for part := range strings.SplitSeq(string(text), ",") {
		if part == "" {
			continue
		}
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		low, lowErr := strconv.Atoi(first)
		high, highErr := strconv.Atoi(last)
		if lowErr != nil || highErr != nil || low < 0 || high < low || high >= SliceCount {
			return fmt.Errorf("invalid range of slices %q, want numbers below %d", part, SliceCount)
		}
		set = set.Union(sliceRange(low, high))
	}
	*s = set
	return nil
}
