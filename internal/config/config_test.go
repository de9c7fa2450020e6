package config

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/errs"
)

const exampleMerge = `{
  "availability_zones": {"mbezi": {}, "temeke": {"state": "in"}},
  "services": {"booking": {"kind": "keyed"}, "catalogue": {"kind": "pooled", "hedge": true}},
  "rules": [
    {"prefix": "/booking", "service": "booking", "key": {"path_segment": 1}},
    {"prefix": "/booking/stock", "service": "catalogue", "priority": "internal"}
  ]}`

func example(t *testing.T) *Versioned {
	t.Helper()
	v, err := (&Versioned{}).Apply(Patch{Identity: "first", Merge: json.RawMessage(exampleMerge)}, time.Now())
	require.NoError(t, err)
	return v
}

// Guards against a stale patch being merged silently, and against a refusal that hides which number is current.
func TestStalePatchIsRefusedWithBothNumbers(t *testing.T) {
	v := example(t)
	_, err := v.Apply(Patch{Base: 0, Identity: "second", Merge: json.RawMessage(`{}`)}, time.Now())
	require.True(t, errs.Is(err, errs.Conflict))
	require.ErrorContains(t, err, "against configuration 0, but 1 is current")
}

// Guards against a document that is accepted although a part of it contradicts another.
func TestInvalidPatchesAreRefused(t *testing.T) {
	v := example(t)
	for merge, want := range map[string]string{
		`{"services": {"catalogue": null}}`:                             `rules[1].service: service "catalogue" does not exist`,
		`{"services": {"booking": {"slices": 512}}}`:                    "services.booking.slices: can't change from 256 to 512",
		`{"services": {"booking": {"kind": "pooled"}}}`:                 "a pooled service has no slices",
		`{"services": {"booking": {"hedge": true}}}`:                    "services.booking.hedge",
		`{"services": {"booking": {"max_request": "31s"}}}`:             "services.booking.max_request: must be from 1ms to 30s",
		`{"services": {"booking": {"colour": "blue"}}}`:                 `unknown field "colour"`,
		`{"availability_zones": {"Mbezi": {}}}`:                         "availability_zones.Mbezi: the name must",
		`{"availability_zones": {"mbezi": {"state": "gone"}}}`:          `must be "in" or "out", not "gone"`,
		`{"rules": [{"prefix": "/a/", "service": "catalogue"}]}`:        "rules[0].prefix",
		`{"rules": [{"prefix": "/v1/tokens/a", "service": "booking"}]}`: "a path of citronvane itself",
		`[]`: "not a JSON object",
	} {
		_, err := v.Apply(Patch{Base: 1, Identity: "second", Merge: json.RawMessage(merge)}, time.Now())
		require.ErrorContains(t, err, want, merge)
		require.True(t, errs.Is(err, errs.Invalid), merge)
		require.NotEmpty(t, errs.Remedy(err), merge)
	}
}

// Guards against an operator's program that cannot tell whether its lost patch was accepted.
func TestAcceptedAttemptsAreRemembered(t *testing.T) {
	v := example(t)
	for i := range MaxAttempts {
		var err error
		v, err = v.Apply(Patch{Base: v.Number, Identity: fmt.Sprint("patch-", i), Merge: json.RawMessage(`{}`)}, time.Now())
		require.NoError(t, err)
	}
	number, found := v.Accepted("patch-0")
	require.True(t, found)
	require.EqualValues(t, 2, number)
	_, found = v.Accepted("first")
	require.False(t, found)
	require.Len(t, v.Attempts, MaxAttempts)
}

// Guards against requests that reach the wrong service or carry the wrong key.
func TestRoute(t *testing.T) {
	v := example(t)
	for target, want := range map[string]string{
		"/booking/hotel-7/deposit": "booking hotel-7 interactive",
		"/booking/stock/coats":     "catalogue  internal",
		"/booking":                 string(answer.BadRequest),
		"/bookings/hotel-7":        string(answer.NoRule),
	} {
		routed, err := v.Document.Route(httptest.NewRequest("GET", target, nil))
		if err != nil {
			require.Equal(t, want, string(answer.As(err).Kind), target)
			continue
		}
		require.Equal(t, want, fmt.Sprintf("%s %s %s", routed.Service, routed.Key, routed.Priority), target)
	}
}

// Guards against a merge patch that changes or drops members that it does not name.
func TestMergePatchKeepsOtherMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.MapOf(rapid.StringMatching("[a-d]"), rapid.IntRange(0, 9))
		target, patch := members.Draw(t, "target"), members.Draw(t, "patch")
		encodedTarget, _ := json.Marshal(target)
		encodedPatch, _ := json.Marshal(patch)
		merged, err := mergePatch(encodedTarget, encodedPatch)
		require.NoError(t, err)
		var got map[string]int
		require.NoError(t, json.Unmarshal(merged, &got))
		for name, value := range target {
			if replaced, named := patch[name]; named {
				value = replaced
			}
			require.Equal(t, value, got[name])
		}
	})
}

// Guards against an operators' guide that lacks a field of the configuration.
func TestOperatorsGuideListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for _, field := range []struct {
		prefix string
		of     reflect.Type
	}{
		{"availability_zones.NAME.", reflect.TypeFor[AvailabilityZone]()},
		{"services.NAME.", reflect.TypeFor[Service]()},
		{"services.NAME.cold_start.", reflect.TypeFor[ColdStart]()},
		{"rules[].", reflect.TypeFor[Rule]()},
	} {
		for f := range field.of.Fields() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			require.Contains(t, string(page), "`"+field.prefix+name, f.Name)
		}
	}
}
