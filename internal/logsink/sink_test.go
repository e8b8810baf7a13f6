package logsink_test

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/logsink"
)

func TestSinkNeverBlocksOnAWriterThatHangs(t *testing.T) {
	r, w := io.Pipe()
	s := logsink.New(w)
	for range 3 * logsink.Capacity {
		_, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, s.Dropped(), int64(logsink.Capacity))
	require.Zero(t, s.Dropped(), "counted once")
	require.NoError(t, r.Close())
	s.Close()
}

// TestCloseGivesUpOnAWriterThatHangs guards against a process that does not exit because nobody reads its log.
func TestCloseGivesUpOnAWriterThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		s := logsink.New(w)
		_, _ = s.Write([]byte("line\n"))
		s.Close()
		require.NoError(t, r.Close())
	})
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var b bytes.Buffer
	s := logsink.New(&b)
	_, _ = s.Write([]byte("a\n"))
	_, _ = s.Write([]byte("b\n"))
	s.Close()
	require.Equal(t, "a\nb\n", b.String())
	_, err := s.Write([]byte("late\n"))
	require.NoError(t, err)
	require.Equal(t, int64(1), s.Dropped())
	s.Close()
}
