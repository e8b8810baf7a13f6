package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// TestInvalidStatusIsNoReply guards against replies whose status is none, or whose interim response has a body, that count as
// a result or as a refusal, and against further batches on their connections.
func TestInvalidStatusIsNoReply(t *testing.T) {
	const refusal = `{"incarnation":"i","refusal":"busy"}`
	final := fmt.Sprintf("%%s\r\nContent-Length: %d\r\n\r\n%s", len(refusal), refusal)
	for _, wire := range []string{
		fmt.Sprintf(final, "HTTP/1.1 000 x"), fmt.Sprintf(final, "HTTP/1.1 099 x"), fmt.Sprintf(final, "HTTP/1.1 600 x"),
		fmt.Sprintf(final, "HTTP/1.1 999 x"), "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n",
		fmt.Sprintf(final, "HTTP/1.1 103 x\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK"),
	} {
		t.Run(wire[:12], func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			var server errgroup.Group
			server.Go(func() error {
				c, err := l.Accept()
				if err != nil {
					return err
				}
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				r := bufio.NewReader(c)
				request, err := http.ReadRequest(r)
				if err != nil {
					return err
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if _, err := io.WriteString(c, wire); err != nil {
					return err
				}
				_, err = r.ReadByte()
				return err
			})
			reply, err := (&target.Client{}).Run(context.Background(), l.Addr().String(), batch(read(1)))
			require.Truef(t, errorx.IsOfType(err, target.Malformed), "%+v, %v", reply, err)
			require.ErrorIs(t, server.Wait(), io.EOF, "the connection is closed")
		})
	}
}
