package topk_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/topk"
)

func TestHeapKeepsTheGreatestRecords(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var all [][]byte
	h := topk.Heap{Limit: 20}
	for range 30 {
		part := make([]byte, topk.RecordSize*r.IntN(9)+r.IntN(topk.RecordSize))
		for i := range part {
			part[i] = byte(r.IntN(3))
		}
		h.Add(part)
		for p := part; len(p) >= topk.RecordSize; p = p[topk.RecordSize:] {
			all = append(all, p[:topk.RecordSize])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	require.Equal(t, slices.Concat(all[:20]...), h.Bytes())
}

func TestHeapKeepsEqualRecordsAndIgnoresRemainders(t *testing.T) {
	h := topk.Heap{Limit: 3}
	record := bytes.Repeat([]byte{7}, topk.RecordSize)
	h.Add(slices.Concat(record, record, record[:5]))
	require.Equal(t, slices.Concat(record, record), h.Bytes())
	require.Empty(t, (&topk.Heap{}).Bytes())
}
