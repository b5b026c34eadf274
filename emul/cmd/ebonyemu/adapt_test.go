package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
)

// Guards against a local run that keeps an address of the sample or a value that
// an assignment should change, and against ignoring an invalid argument.
func TestAdaptSettings(t *testing.T) {
	raw, err := os.ReadFile("../../../samples/utility.json")
	assert.NilError(t, err)
	snap, problems := conf.DecodeSnapshot(raw)
	assert.Equal(t, len(problems), 0)
	assert.NilError(t, adaptSettings(snap, []string{"/:coldTime=2s", "/utility/ledger/bole:coldTime="}, 127))
	r, err := snap.Resolve("/utility/ledger/bole")
	assert.NilError(t, err)
	assert.Equal(t, r.ColdTime.String(), "2s")
	assert.Equal(t, r.Address.String(), "127.30.255.1:7000")
	objs, err := snap.Objects()
	assert.NilError(t, err)
	for _, o := range objs {
		assert.Assert(t, !strings.Contains(string(o.Value), `"10.`), "%s %s", o.Kind, o.Name)
	}
	for _, bad := range []string{"/:coldTime", "coldTime=2s", "/nowhere:coldTime=2s", "/:speed=2", "/:coldTime=soon"} {
		assert.Assert(t, adaptSettings(snap, []string{bad}, -1) != nil, bad)
	}
	assert.Assert(t, adaptSettings(snap, nil, 256) != nil)
}
