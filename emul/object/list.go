package object

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"

	"ebonypaddle/pkg/store"
)

// StateLive is the state of an instance that takes packets.
const StateLive = "live"

// LiveInstances returns the data addresses of the instances that are not leaving.
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
