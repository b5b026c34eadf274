package admin

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"connectrpc.com/connect"
)

// Client calls the admin services of one instance.
type Client struct {
	// HTTP sends the requests. Its timeout, if any, must be longer than a watch.
	HTTP connect.HTTPClient
	// URL is the base address of the instance's admin server.
	URL string
	// Key is the token of the cluster key for Pull, and that of the operator
	// key for all other calls.
	Key string
}

// Pull returns the changes to the settings since a revision.
func (c *Client) Pull(ctx context.Context, since uint64) (PullResponse, error) {
	return call[PullRequest, PullResponse](ctx, c, pullPath, PullRequest{since})
}

// Status returns the state of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[StatusRequest, Status](ctx, c, statusPath, StatusRequest{})
}

// Settings returns all settings of the instance as a delta from revision 0.
func (c *Client) Settings(ctx context.Context) (PullResponse, error) {
	return call[SettingsRequest, PullResponse](ctx, c, settingsPath, SettingsRequest{})
}

// Counters returns the published counters of the instance as a JSON object.
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
	b, err := io.ReadAll(io.LimitReader(res.Body, MaxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("counters of %s: %w", c.URL, err)
	}
	return b, nil
}

// Notify sends an edit that the platform has accepted to the instance.
func (c *Client) Notify(ctx context.Context, ch Change) (NotifyResponse, error) {
	return call[Change, NotifyResponse](ctx, c, notifyPath, ch)
}

// Watch calls f with the progress of a revision until it is in force
// everywhere, ctx ends or f returns false. It returns an error if the stream
// fails or ctx ends.
func (c *Client) Watch(ctx context.Context, rev uint64, f func(Progress) bool) error {
	cc, err := newConnectClient[WatchRequest, Progress](c, watchPath)
	if err != nil {
		return err
	}
	req := connect.NewRequest(&WatchRequest{rev})
	req.Header().Set("Authorization", "Bearer "+c.Key)
	stream, err := cc.CallServerStream(ctx, req)
	if err != nil {
		return fmt.Errorf("watch revision %d at %s: %w", rev, c.URL, err)
	}
	// The error of the stream is returned below; Close only frees resources.
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

func newConnectClient[Req, Res any](c *Client, path string) (*connect.Client[Req, Res], error) {
	cd, err := NewCodec()
	if err != nil {
		return nil, err
	}
	return connect.NewClient[Req, Res](c.HTTP, c.URL+path, connect.WithCodec(cd), connect.WithReadMaxBytes(MaxResponseBytes)), nil
}

// call sends a unary request and returns the response.
func call[Req, Res any](ctx context.Context, c *Client, path string, req Req) (res Res, err error) {
	cc, err := newConnectClient[Req, Res](c, path)
	if err != nil {
		return res, err
	}
	r := connect.NewRequest(&req)
	r.Header().Set("Authorization", "Bearer "+c.Key)
	resp, err := cc.CallUnary(ctx, r)
	if err != nil {
		return res, fmt.Errorf("call %s at %s: %w", path, c.URL, err)
	}
	return *resp.Msg, nil
}
