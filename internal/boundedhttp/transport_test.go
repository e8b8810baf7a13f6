package boundedhttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/boundedhttp"
	"github.com/knapweedpoint/knapweedpoint/internal/boundedio"
	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
)

const limit = 100 << 10

func TestTransportBoundsBodies(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    int
	}{
		{"short", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 10)) }, 10},
		{"exactly at the limit", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, limit)) }, limit},
		{"announces a length beyond the limit", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(limit+1))
		}, -1},
		{"an endless body", func(w http.ResponseWriter, _ *http.Request) {
			for block := make([]byte, 4<<10); ; {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		}, -1},
		{"an oversized head", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", string(make([]byte, 2*boundedhttp.MaxHeaderBytes)))
		}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(c.handler)
			defer s.Close()
			budget := readbudget.New(136 << 20)
			base := &http.Transport{MaxResponseHeaderBytes: boundedhttp.MaxHeaderBytes, DisableKeepAlives: true}
			client := &http.Client{Transport: &boundedhttp.Transport{Base: base, MaxBody: func() int64 { return limit }, Budget: budget}}
			r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, s.URL, nil)
			require.NoError(t, err)
			response, err := client.Do(r)
			if err != nil {
				require.Equal(t, -1, c.want)
				return
			}
			body, err := boundedio.ReadAll(response.Body, response.ContentLength)
			require.NoError(t, response.Body.Close())
			require.Zero(t, budget.Reserved())
			if c.want < 0 {
				require.True(t, errorx.IsOfType(err, boundedio.ErrOversized))
				return
			}
			require.NoError(t, err)
			require.Len(t, body, c.want)
		})
	}
}
