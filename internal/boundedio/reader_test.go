package boundedio_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/boundedio"
	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
)

func text(n int) []byte { return bytes.Repeat([]byte("0123456789abcdef"), n/16+1)[:n] }

func TestReadAllReturnsWholeMessagesOnly(t *testing.T) {
	for _, n := range []int{0, 1, 511, 512, 513, 4 << 10, 64<<10 - 1, 64 << 10, 64<<10 + 1, 300 << 10} {
		for _, length := range []int64{-1, 0, int64(n), int64(n) + 7, 1 << 40} {
			got, err := boundedio.ReadAll(iotest.HalfReader(bytes.NewReader(text(n))), length)
			require.NoError(t, err)
			require.Equal(t, text(n), append([]byte{}, got...), "%d bytes, length %d", n, length)
		}
		broken := io.MultiReader(bytes.NewReader(text(n)), iotest.ErrReader(io.ErrUnexpectedEOF))
		got, err := boundedio.ReadAll(broken, -1)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Empty(t, got)
	}
}

func TestReaderStopsAtItsLimit(t *testing.T) {
	for _, c := range []struct {
		name          string
		allowed, sent int
		reserved      int64
		oversized     bool
	}{
		{name: "shorter", allowed: 100, sent: 99},
		{name: "as long as the limit, and more may follow", allowed: 100, sent: 100, oversized: true},
		{name: "longer", allowed: 100, sent: 1000, oversized: true},
		{name: "short with the budget used up", allowed: 1 << 20, sent: 32 << 10, reserved: 1 << 16},
		{name: "long with the budget used up", allowed: 1 << 20, sent: 33 << 10, reserved: 1 << 16, oversized: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			const memory = 1 << 20
			budget := readbudget.New(memory)
			require.True(t, budget.Reserve(min(c.reserved, budget.Limit())))
			used := budget.Reserved()
			r := &boundedio.Reader{Source: bytes.NewReader(text(c.sent)), Budget: budget}
			r.SetLimit("body", int64(c.allowed))
			_, err := boundedio.ReadAll(r, -1)
			require.Equal(t, c.oversized, err != nil)
			require.Equal(t, c.oversized, errorx.IsOfType(err, boundedio.ErrOversized))
			r.Release()
			require.Equal(t, used, budget.Reserved())
		})
	}
}

func TestZeroReaderAllowsNothing(t *testing.T) {
	r := &boundedio.Reader{Source: bytes.NewReader(text(10))}
	_, err := boundedio.ReadAll(r, 10)
	require.True(t, errorx.IsOfType(err, boundedio.ErrOversized))
}

func FuzzReadAll(f *testing.F) {
	f.Add([]byte("abc"), int64(2), int64(3))
	f.Add(text(70<<10), int64(-1), int64(80<<10))
	f.Fuzz(func(t *testing.T, message []byte, length, allowed int64) {
		r := &boundedio.Reader{Source: bytes.NewReader(message)}
		r.SetLimit("message", allowed)
		got, err := boundedio.ReadAll(r, length)
		if err == nil {
			require.Equal(t, message, append([]byte{}, got...))
			require.Less(t, int64(len(message)), max(allowed, 1))
		}
	})
}
