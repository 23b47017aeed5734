package shed

import (
	"errors"
	"fmt"
)

// Revision orders the changes of the platform's store: by the store's era, then by the store's own
// number. It is never a number chosen by an operator. Zero means none.
//
// A store that comes back from a copy gives its numbers out again for other changes; its next era
// keeps them apart, wherever a revision is compared, kept or sent. A store without eras is in era
// 0, so its revisions are its numbers.
type Revision uint64

// Era counts how often the store came back from a copy.
type Era uint32

const (
	// numberBits is the size of a store's own number within a Revision; at a million changes a
	// second it lasts for half a year.
	numberBits = 44
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// ErrBadRevision is returned for a store's number or era that doesn't fit a Revision.
var ErrBadRevision = errors.New("revision out of range")

// NewRevision returns the revision of a store's own number in an era.
func NewRevision(era Era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, fmt.Errorf("%w: number %d in era %d", ErrBadRevision, number, era)
	}
	return Revision(uint64(era)<<numberBits | number), nil
}

// Era returns the store's era.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the store's own number.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }
