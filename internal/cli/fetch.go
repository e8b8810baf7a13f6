package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

const fetchTimeout = 5 * time.Second

// fetch reads one JSON document from the operators' interface of a daemon.
func fetch(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return errorx.IllegalArgument.Wrap(err, "address %s", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errorx.ExternalError.Wrap(err, "read %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return errorx.ExternalError.Wrap(err, "read %s%s", address, path)
	}
	return nil
}
