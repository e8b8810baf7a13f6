package budget

import "sync"

// DefaultRatio is the number of additional sends that each first send allows.
const DefaultRatio = 0.04

const (
	maxTokens     = 20
	initialTokens = 5
	tokensPerSend = 1
)

// Bucket is a token bucket that limits additional sends to a share of the first sends; its zero value uses DefaultRatio.
type Bucket struct {
	// Ratio overrides DefaultRatio when it is above 0.
	Ratio       float64
	mu          sync.Mutex
	initialized bool
	tokens      float64
	first       uint64
	additional  uint64
}

// Earn counts first sends and adds their tokens to the bucket.
func (b *Bucket) Earn(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first += uint64(n)
	b.initialize()
	b.tokens = min(b.tokens+float64(n)*b.ratio(), maxTokens)
}

// Spend takes the token of one additional send from the bucket and reports whether there was one.
func (b *Bucket) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	if b.tokens < tokensPerSend {
		return false
	}
	b.tokens--
	b.additional++
	return true
}

// Counts returns the numbers of first and additional sends.
func (b *Bucket) Counts() (first, additional uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first, b.additional
}

// initialize fills an unused bucket with initialTokens.
func (b *Bucket) initialize() {
	if !b.initialized {
		b.initialized = true
		b.tokens = initialTokens
	}
}

func (b *Bucket) ratio() float64 {
	if b.Ratio > 0 {
		return b.Ratio
	}
	return DefaultRatio
}
