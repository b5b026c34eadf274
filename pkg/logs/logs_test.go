package logs_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/logs"
)

// Guards against a level that is applied to other subsystems too and hides the
// lines that an operator looks for.
func TestLevelAppliesToOneSubsystem(t *testing.T) {
	for name, tc := range map[string]struct {
		level string
		want  string
	}{
		"off":   {"off", "core:info core:error"},
		"error": {"error", "dist:error core:info core:error"},
		"debug": {"debug", "dist:debug dist:info dist:error core:info core:error"},
		"bad":   {"loud", "dist:info dist:error core:info core:error"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			s := &logs.Switch{Out: &out, Levels: map[string]string{"dist": tc.level}}
			for _, sub := range []string{"dist", "core"} {
				l := s.Logger(sub)
				l.Debug(sub + ":debug")
				l.Info(sub + ":info")
				l.Error(sub + ":error")
			}
			var got []string
			for line := range strings.Lines(out.String()) {
				_, msg, _ := strings.Cut(line, "msg=")
				msg, sub, _ := strings.Cut(strings.TrimSpace(msg), " subsystem=")
				assert.Assert(t, strings.HasPrefix(msg, sub+":"), line)
				got = append(got, msg)
			}
			assert.Equal(t, strings.Join(got, " "), tc.want)
		})
	}
	_, err := logs.ParseLevel("loud")
	assert.ErrorContains(t, err, `log level "loud"`)
}
