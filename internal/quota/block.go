package quota

import "sync"

const (
	// blockSize is the size of the blocks of a body, answerBlock that of an answer, in bytes. A caller makes progress
	// with each block.
	blockSize   = 16 << 10
	answerBlock = 64 << 10
	// firstBlock is the size of the first block if the length is not announced.
	firstBlock = 4 << 10
)

// bodyBlocks and answerBlocks hold blocks that nothing refers to, for reuse: under a crowd, what is refused would
// otherwise become garbage faster than the runtime collects it.
var bodyBlocks, answerBlocks sync.Pool

// newBlock returns a block of n bytes with any content.
func newBlock(n int64) []byte {
	var reused any
	switch n {
	case blockSize:
		reused = bodyBlocks.Get()
	case answerBlock:
		reused = answerBlocks.Get()
	}
	if block, ok := reused.(*[]byte); ok {
		return *block
	}
	return make([]byte, n)
}

// recycle takes blocks back that nothing refers to any more.
func recycle(blocks [][]byte) {
	for _, block := range blocks {
		block = block[:cap(block)]
		switch cap(block) {
		case blockSize:
			bodyBlocks.Put(&block)
		case answerBlock:
			answerBlocks.Put(&block)
		}
	}
}
