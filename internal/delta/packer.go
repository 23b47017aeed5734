package delta

import (
	"sync"

	shed "jasmineshed"
)

// packFrom is the size from which a value is packed, in bytes. Smaller ones, such as
// entries of servers, go as they are.
const packFrom = 4 << 10

// packedMost is how many packed values a Packer keeps. Peers that ask have one of the
// last few versions.
const packedMost = 8

// Packer packs items for many peers, each difference once: on a small VM packing a
// large value for every peer anew would take longer than sending it. It is safe for
// concurrent use.
type Packer struct {
	mu     sync.Mutex
	packed map[difference][]byte
	// order has the differences that are kept, the oldest first.
	order []difference
}

// difference names what was packed.
type difference struct {
	key            string
	revision, base shed.Revision
}

// IsLarge tells whether an item's value is packed.
func IsLarge(item shed.Item) bool { return !item.Deleted && len(item.Value) >= packFrom }

// Pack puts an item into the form in which VMs pass it on; base is the same key's
// item that the receiver has, its zero value if it has none.
func (p *Packer) Pack(item, base shed.Item) shed.ItemChange {
	if !IsLarge(item) {
		return shed.ItemChange{Item: item}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := difference{key: item.Key, revision: item.Revision, base: base.Revision}
	packed, ok := p.packed[d]
	if !ok {
		var err error
		if packed, err = Pack(item.Value, base.Value); err != nil {
			// It is only longer as it is.
			return shed.ItemChange{Item: item}
		}
		p.keep(d, packed)
	}
	item.Value = packed
	return shed.ItemChange{Item: item, Packed: true, Base: base.Revision}
}

// keep remembers a packed value. The caller holds mu.
func (p *Packer) keep(d difference, packed []byte) {
	if p.packed == nil {
		p.packed = map[difference][]byte{}
	}
	p.packed[d] = packed
	p.order = append(p.order, d)
	if len(p.order) > packedMost {
		delete(p.packed, p.order[0])
		p.order = p.order[1:]
	}
}

// Restore undoes Pack; held is the same key's item that the receiver has. It is
// ErrUnpack if that isn't the base.
func Restore(c shed.ItemChange, held shed.Item) (shed.Item, error) {
	if !c.Packed {
		return c.Item, nil
	}
	if c.Base == 0 {
		held = shed.Item{}
	}
	if held.Revision != c.Base {
		return shed.Item{}, ErrUnpack
	}
	value, err := Unpack(c.Value, held.Value)
	if err != nil {
		return shed.Item{}, err
	}
	item := c.Item
	item.Value = value
	return item, nil
}
