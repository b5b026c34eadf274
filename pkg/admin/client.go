package admin

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"connectrpc.com/connect"
)

// Client calls the services of one instance.
type Client struct {
	// HTTP sends the requests; its timeout must not end a watch.
	HTTP connect.HTTPClient
	// URL is the base address of the instance's admin server.
	URL string
	// Key is the cluster key for Pull, the operator key for the rest.
	Key string
}

// Pull returns what an instance at revision since lacks.
func (c *Client) Pull(ctx context.Context, since uint64) (PullAnswer, error) {
	return call[PullRequest, PullAnswer](ctx, c, pullPath, PullRequest{since})
}

// Status returns the state of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[StatusRequest, Status](ctx, c, statusPath, StatusRequest{})
}

// Settings returns the settings that the instance holds, as a full delta.
func (c *Client) Settings(ctx context.Context) (PullAnswer, error) {
	return call[SettingsRequest, PullAnswer](ctx, c, settingsPath, SettingsRequest{})
}

// Counters returns the published counters of the instance, a JSON object.
func (c *Client) Counters(ctx context.Context) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+countersPath, nil)
	if err != nil {
		return nil, fmt.Errorf("counters of %s: %w", c.URL, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	res, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("counters of %s: %w", c.URL, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("counters of %s: status %s", c.URL, res.Status)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, MaxAnswer))
	if err != nil {
		return nil, fmt.Errorf("counters of %s: %w", c.URL, err)
	}
	return b, nil
}

// Notify hands an accepted change over.
func (c *Client) Notify(ctx context.Context, ch Change) (NotifyAnswer, error) {
	return call[Change, NotifyAnswer](ctx, c, notifyPath, ch)
}

// Watch calls f with the progress of a revision until it is in force
// everywhere, ctx ends or f returns false.
func (c *Client) Watch(ctx context.Context, rev uint64, f func(Progress) bool) error {
	cl, err := client[WatchRequest, Progress](c, watchPath)
	if err != nil {
		return err
	}
	req := connect.NewRequest(&WatchRequest{rev})
	req.Header().Set("Authorization", "Bearer "+c.Key)
	stream, err := cl.CallServerStream(ctx, req)
	if err != nil {
		return fmt.Errorf("watch revision %d at %s: %w", rev, c.URL, err)
	}
	// The error of the stream is what counts; closing only frees it.
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if !f(*stream.Msg()) {
			return nil
		}
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("watch revision %d at %s: %w", rev, c.URL, err)
	}
	return nil
}

func client[Req, Res any](c *Client, path string) (*connect.Client[Req, Res], error) {
	cd, err := NewCodec()
	if err != nil {
		return nil, err
	}
	return connect.NewClient[Req, Res](c.HTTP, c.URL+path, connect.WithCodec(cd), connect.WithReadMaxBytes(MaxAnswer)), nil
}

func call[Req, Res any](ctx context.Context, c *Client, path string, req Req) (res Res, err error) {
	cl, err := client[Req, Res](c, path)
	if err != nil {
		return res, err
	}
	r := connect.NewRequest(&req)
	r.Header().Set("Authorization", "Bearer "+c.Key)
	ans, err := cl.CallUnary(ctx, r)
	if err != nil {
		return res, fmt.Errorf("call %s at %s: %w", path, c.URL, err)
	}
	return *ans.Msg, nil
}
