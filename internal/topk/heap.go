package topk

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordSize is the length of one record in bytes.
const RecordSize = 16

// Heap retains the greatest of the records that were added; the zero value retains none.
type Heap struct {
	// Limit is the maximum number of records.
	Limit   int
	records records
}

// Add adds the records of one part. A remainder that is shorter than a record is ignored.
func (h *Heap) Add(part []byte) {
	for len(part) >= RecordSize {
		h.add(part[:RecordSize])
		part = part[RecordSize:]
	}
}

func (h *Heap) add(record []byte) {
	if len(h.records) < h.Limit {
		heap.Push(&h.records, record)
		return
	}
	if h.Limit > 0 && bytes.Compare(record, h.records[0]) > 0 {
		h.records[0] = record
		heap.Fix(&h.records, 0)
	}
}

// Bytes returns the retained records in descending byte order.
func (h *Heap) Bytes() []byte {
	sorted := slices.Clone(h.records)
	slices.SortFunc(sorted, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(sorted...)
}

// records implements heap.Interface with the smallest record at the root.
type records [][]byte

func (r records) Len() int           { return len(r) }
func (r records) Less(i, j int) bool { return bytes.Compare(r[i], r[j]) < 0 }
func (r records) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push appends one record.
func (r *records) Push(x any) { *r = append(*r, x.([]byte)) }

// Pop removes the last record.
func (r *records) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}
