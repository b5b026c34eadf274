package object

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"

	"ebonypaddle/pkg/store"
)

// StateLive is the state of an instance that is not leaving, so it may get
// packets.
const StateLive = "live"

// LiveInstances returns the data addresses of the instances in StateLive. It
// fails if the instance list cannot be read or has an invalid object.
func LiveInstances(ctx context.Context, c *store.Client) ([]netip.AddrPort, error) {
	objs, _, err := c.List(ctx, store.KindInstance)
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	var out []netip.AddrPort
	for _, o := range objs {
		var in Instance
		if err := json.Unmarshal(o.Value, &in); err != nil {
			return nil, fmt.Errorf("instance %q: %w", o.Name, err)
		}
		if in.State == StateLive {
			out = append(out, in.Data)
		}
	}
	return out, nil
}
