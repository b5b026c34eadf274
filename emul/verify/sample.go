// Package verify collects the counters and reports of instances, backend
// servers and callers during a run, and checks them against the requirements
// that must always hold.
package verify

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"ebonypaddle/emul/server"
	"ebonypaddle/pkg/conf"
)

// maxResponseBytes bounds a response with counters or records.
const maxResponseBytes = 256 << 20

// Vars are the counters of one instance, as published at /debug/vars.
type Vars struct {
	Refused map[string]uint64 `json:"refused"`
	Dropped map[string]uint64 `json:"dropped"`
	Retried map[string]uint64 `json:"retried"`
	Closed  map[string]uint64 `json:"closed"`
	Control map[string]uint64 `json:"control"`
	// Settings holds the revision in force under the key "rev".
	Settings map[string]uint64 `json:"settings"`
}

// Server is the state of one backend server.
type Server struct {
	ID         conf.ServerID `json:"id"`
	LastPacket time.Time     `json:"lastPacket"`
	Flows      int           `json:"flows"`
	// Runs counts how often the server ran a request.
	Runs uint64 `json:"runs"`
	server.Counters
}

// Sample is the state of a run at one time. Instances that did not answer have
// no entry.
type Sample struct {
	At        time.Time       `json:"at"`
	Instances map[string]Vars `json:"instances"`
	Servers   []Server        `json:"servers"`
}

// Collector reads samples over HTTP. The fields must be set before use.
type Collector struct {
	Clock func() time.Time
	HTTP  *http.Client
	// Instances holds the admin addresses by entry place.
	Instances map[string]string
	// Key is the operator key in hex, which the instances require for reading
	// their counters.
	Key string
	// Records holds the URLs of the servers' /records endpoints.
	Records []string
}

// Collect reads one sample. It fails if a /records endpoint cannot be read.
// Instances that cannot be read are left out, since a run stops some of them.
func (c *Collector) Collect(ctx context.Context) (*Sample, error) {
	s := &Sample{At: c.Clock(), Instances: map[string]Vars{}}
	for name, addr := range maps.All(c.Instances) {
		var v Vars
		if c.get(ctx, "http://"+addr+"/debug/vars", &v) == nil {
			s.Instances[name] = v
		}
	}
	for _, url := range c.Records {
		var reports []server.Report
		if err := c.get(ctx, url, &reports); err != nil {
			return nil, err
		}
		for _, r := range reports {
			s.Servers = append(s.Servers, newServer(&r))
		}
	}
	return s, nil
}

func newServer(r *server.Report) Server {
	out := Server{ID: r.ID, LastPacket: r.LastPacket, Flows: r.Flows, Counters: r.Counters}
	for _, rec := range r.Records {
		out.Runs += uint64(rec.Runs)
	}
	return out
}

func (c *Collector) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("sample: %w", err)
	}
	if strings.HasSuffix(url, "/debug/vars") {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("sample: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("sample: %s returned status %s", url, res.Status)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(out); err != nil {
		return fmt.Errorf("sample: decode %s: %w", url, err)
	}
	return nil
}
