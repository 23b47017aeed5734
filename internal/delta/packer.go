package delta

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
)

// minPackSize is the minimum size of a value to be packed, in bytes. Smaller ones, such as
// server entries, are sent unpacked.
const minPackSize = 4 << 10

// maxPacked is how many packed values a Packer caches. Peers that ask have one of the last few
// versions.
const maxPacked = 8

// Packer packs items for many peers and caches the results: on a small VM, packing a large value
// again for every peer would take longer than sending it. It is safe for concurrent use.
type Packer struct {
	mu     sync.Mutex
	packed map[packedKey][]byte
	// order holds the cached keys, oldest first.
	order []packedKey
}

// packedKey identifies a packed value.
type packedKey struct {
	key            string
	revision, base shed.Revision
}

// IsLarge reports whether an item's value is large enough to be packed.
func IsLarge(item shed.Item) bool { return !item.Deleted && len(item.Value) >= minPackSize }

// Pack converts an item to the form sent between VMs; base is the receiver's item of the same
// key, the zero value if it has none.
func (p *Packer) Pack(item, base shed.Item) shed.ItemChange {
	if !IsLarge(item) {
		return shed.ItemChange{Item: item}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := packedKey{key: item.Key, revision: item.Revision, base: base.Revision}
	packed, ok := p.packed[key]
	if !ok {
		var err error
		if packed, err = Pack(item.Value, base.Value); err != nil {
			// Sending the value unpacked only takes more bytes.
			return shed.ItemChange{Item: item}
		}
		p.cache(key, packed)
	}
	item.Value = packed
	return shed.ItemChange{Item: item, Packed: true, Base: base.Revision}
}

// cache stores a packed value, and drops the oldest one beyond maxPacked. The caller holds mu.
func (p *Packer) cache(key packedKey, packed []byte) {
	if p.packed == nil {
		p.packed = map[packedKey][]byte{}
	}
	p.packed[key] = packed
	p.order = append(p.order, key)
	if len(p.order) > maxPacked {
		delete(p.packed, p.order[0])
		p.order = p.order[1:]
	}
}

// Hashed converts an item whose value the receiver has to the form sent between VMs.
func Hashed(item shed.Item) shed.ItemChange {
	return shed.ItemChange{Item: shed.Item{Key: item.Key, Revision: item.Revision}, SameAs: hash(item.Value)}
}

// hash is never 0, which means no hash.
func hash(value []byte) uint64 { return max(xxhash.Sum64(value), 1) }

// Restore reverses Pack and Hashed; held is the receiver's item of the same key. It returns
// ErrUnpack if held is not the base, or not the same.
func Restore(c shed.ItemChange, held shed.Item) (shed.Item, error) {
	if c.SameAs != 0 {
		if held.Key != c.Key || hash(held.Value) != c.SameAs {
			return shed.Item{}, ErrUnpack
		}
		return shed.Item{Key: c.Key, Revision: c.Revision, Value: held.Value}, nil
	}
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
