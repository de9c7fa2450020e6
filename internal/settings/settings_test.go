package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/errs"
)

const example = `cluster:
  name: kilima
  secret: 0123456789abcdef
  operator_token: 0123456789abcdef
node:
  name: node-1
  region: dar
  availability_zone: mbezi
  rack: r1
listen:
  callers: 127.0.0.1:7001
  relay: 127.0.0.1:7002
  heartbeat: 127.0.0.1:7003
  control: 127.0.0.1:7004
  operators: 127.0.0.1:7005
  targets: 127.0.0.1:7006
platform:
  address: 127.0.0.1:7000
`

// Guards against defaults that are lost or overwritten by absent fields.
func TestDefaults(t *testing.T) {
	s, err := Read("node.yaml", []byte(example))
	require.NoError(t, err)
	require.Equal(t, "info", s.Log.Level)
	require.EqualValues(t, 50, s.Platform.ReadsPerSecond)
	require.Equal(t, "mbezi", s.Location().AvailabilityZone)
}

// Guards against settings that are wrong and start a node all the same, or whose error does not say where.
func TestErrorsNameLineFieldAndRemedy(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"unknown field", "  rack: r1", "  rak: r1", `node.yaml:9:3: unknown field "rak"`},
		{"missing field", "  rack: r1\n", "", "node.yaml:6: node.rack: is missing"},
		{"host name", "127.0.0.1:7003", "localhost:7003", "node.yaml:13: listen.heartbeat: must be an IP number"},
		{"bad name", "node-1", "Node_1", "node.yaml:6: node.name: must have 1 to 63 small letters"},
		{"short secret", "secret: 0123456789abcdef\n  op", "secret: abc\n  op", "node.yaml:3: cluster.secret: must have at least 16"},
		{"wrong type", "name: kilima", "name: [a]", "node.yaml:2"},
		{"not YAML", "cluster:", "cluster: {", "node.yaml:"},
		{"bad rate", "platform:", "platform:\n  reads_per_second: -1", "node.yaml:18: platform.reads_per_second: must be more than 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read("node.yaml", []byte(strings.Replace(example, c.old, c.replacement, 1)))
			require.ErrorContains(t, err, c.want)
			require.NotEmpty(t, errs.Remedy(err))
		})
	}
}

// Guards against a settings page that lacks a field of the code, or lists one that no longer exists.
func TestSettingsPageListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	fields := fieldNames(reflect.TypeFor[Settings](), "")
	for _, field := range fields {
		require.Contains(t, string(page), "| `"+field+"` |")
	}
	require.Equal(t, len(fields), strings.Count(string(page), "\n| `"))
}

func fieldNames(t reflect.Type, prefix string) []string {
	var names []string
	for f := range t.Fields() {
		name := prefix + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct {
			names = append(names, fieldNames(f.Type, name+".")...)
			continue
		}
		names = append(names, name)
	}
	return names
}

// Guards against a cost prediction that can't be turned off, or that is turned off by a misspelt value.
func TestCostPredictionSetting(t *testing.T) {
	const sidecar = `node: n
host: 127.0.0.1
availability_zone: z
service: s
target: 127.0.0.1:1
heartbeat_interval_ms: 870
relay_ports: [7000, 7010]
listen: {entrance: "127.0.0.1:2", readiness: "127.0.0.1:3", heartbeats: "127.0.0.1:4", metrics: "127.0.0.1:5"}
store: {address: "127.0.0.1:6"}
`
	for line, want := range map[string]string{"": "", "cost_prediction: auto": CostPredictionAuto, "cost_prediction: off": CostPredictionOff} {
		s, err := ReadSidecar("node.yaml", []byte(sidecar+line))
		require.NoError(t, err, line)
		require.Equal(t, want, s.CostPrediction)
	}
	_, err := ReadSidecar("node.yaml", []byte(sidecar+"cost_prediction: of"))
	require.ErrorContains(t, err, "cost_prediction")
	require.NotEmpty(t, errs.Remedy(err))
}
