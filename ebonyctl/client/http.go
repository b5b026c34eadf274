package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"ebonypaddle/pkg/conf"
)

// maxAnswer bounds an answer in bytes. 140,000 server records of 300 bytes
// take 42 MB.
const maxAnswer = 256 << 20

// HTTP is the object API over HTTP and JSON.
type HTTP struct {
	// Base are the base URLs of the API's addresses, such as
	// http://10.0.0.1:8080. The next is tried when one refuses to connect.
	Base   []string
	Client *http.Client
}

// List implements Objects.
func (h *HTTP) List(ctx context.Context, kind conf.Kind) (uint64, []conf.Object, error) {
	var out struct {
		Rev     uint64        `json:"rev"`
		Objects []conf.Object `json:"objects"`
	}
	err := h.do(ctx, http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(string(kind)+"/"), nil, nil, &out)
	return out.Rev, out.Objects, err
}

// Get implements Objects.
func (h *HTTP) Get(ctx context.Context, kind conf.Kind, name string) (conf.Object, error) {
	var o conf.Object
	err := h.do(ctx, http.MethodGet, objectPath(kind, name), nil, nil, &o)
	return o, err
}

// Put implements Objects.
func (h *HTTP) Put(ctx context.Context, kind conf.Kind, name string, rev uint64, value []byte) (uint64, error) {
	return h.write(ctx, http.MethodPut, objectPath(kind, name), rev, value)
}

// Delete implements Objects.
func (h *HTTP) Delete(ctx context.Context, kind conf.Kind, name string, rev uint64) (uint64, error) {
	return h.write(ctx, http.MethodDelete, objectPath(kind, name), rev, nil)
}

func objectPath(kind conf.Kind, name string) string {
	return "/v1/objects/" + string(kind) + "/" + url.PathEscape(name)
}

func (h *HTTP) write(ctx context.Context, method, path string, rev uint64, value []byte) (uint64, error) {
	var out struct {
		Rev uint64 `json:"rev"`
	}
	err := h.do(ctx, method, path, &rev, value, &out)
	return out.Rev, err
}

// do sends one request. Only a refused connection lets it try the next
// address, because any later failure may come after the write took effect.
func (h *HTTP) do(ctx context.Context, method, path string, rev *uint64, body []byte, out any) error {
	err := errors.New("no address of the object API is given")
	for _, base := range h.Base {
		var req *http.Request
		req, err = http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
		if err != nil {
			return fmt.Errorf("object API: %w", err)
		}
		if rev != nil {
			req.Header.Set("If-Match", strconv.FormatUint(*rev, 10))
		}
		var resp *http.Response
		resp, err = h.Client.Do(req)
		if err == nil {
			return answer(resp, rev != nil, out)
		}
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return lostIf(rev != nil, err)
		}
	}
	return fmt.Errorf("object API: %w", err)
}

func lostIf(write bool, err error) error {
	if write {
		return &LostAnswer{err}
	}
	return fmt.Errorf("object API: %w", err)
}

func answer(resp *http.Response, write bool, out any) error {
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case resp.StatusCode == http.StatusConflict:
		var cur struct {
			Rev uint64 `json:"rev"`
		}
		// The revision is informative; the status alone refuses the write.
		_ = json.Unmarshal(b, &cur)
		return &Stale{cur.Rev}
	case resp.StatusCode >= http.StatusInternalServerError:
		return lostIf(write, fmt.Errorf("status %s", resp.Status))
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("object API: status %s", resp.Status)
	case err != nil:
		return lostIf(write, err)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return lostIf(write, fmt.Errorf("decode answer: %w", err))
	}
	return nil
}
