package tenant

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func newDirectory(t testing.TB, tenants ...*Tenant) *Directory {
	keys := map[*Tenant][]Digest{}
	for _, tenant := range tenants {
		keys[tenant] = []Digest{DigestOf("key-" + tenant.Name), DigestOf("second-" + tenant.Name)}
	}
	d, err := NewDirectory(keys, []int{5, 1, 3, 1})
	require.NoError(t, err)
	return d
}

// Guards against requests that pass without the key of a tenant, and against a malformed field that counts as no field at all.
func TestIdentify(t *testing.T) {
	a := &Tenant{Name: "a"}
	d := newDirectory(t, a, &Tenant{Name: "b"})
	for _, c := range []struct {
		name          string
		authorization []string
		want          *Tenant
		ok            bool
	}{
		{"no field", nil, nil, true},
		{"known key", []string{"Bearer key-a"}, a, true},
		{"second key", []string{"Bearer second-a"}, a, true},
		{"scheme in other case", []string{"bEARER key-a"}, a, true},
		{"several spaces", []string{"Bearer   key-a"}, a, true},
		{"unknown key", []string{"Bearer key-c"}, nil, false},
		{"empty field", []string{""}, nil, false},
		{"scheme alone", []string{"Bearer"}, nil, false},
		{"empty key", []string{"Bearer "}, nil, false},
		{"key alone", []string{"key-a"}, nil, false},
		{"other scheme", []string{"Basic key-a"}, nil, false},
		{"tab in place of a space", []string{"Bearer\tkey-a"}, nil, false},
		{"two fields", []string{"Bearer key-a", "Bearer key-a"}, nil, false},
		{"known key and an empty field", []string{"Bearer key-a", ""}, nil, false},
		{"two keys in one field", []string{"Bearer key-a, Bearer key-b"}, nil, false},
		{"control byte", []string{"Bearer key-a\x01"}, nil, false},
		{"key with a prefix of 8 KB", []string{"Bearer " + strings.Repeat("a", 8<<10) + "key-a"}, nil, false},
	} {
		got, ok := d.Identify(c.authorization)
		require.Equal(t, c.ok, ok, c.name)
		require.Same(t, c.want, got, c.name)
	}
}

// Guards against ranks that ignore a priority, and against ones beyond the number of ranks.
func TestRank(t *testing.T) {
	high, low := &Tenant{Name: "high", Priority: 2}, &Tenant{Name: "low", Priority: 900}
	d := newDirectory(t, low, high)
	require.Equal(t, 0, d.Rank(high, 1))
	require.Less(t, d.Rank(high, 1), d.Rank(high, 3))
	require.Less(t, d.Rank(high, 5), d.Rank(low, 1), "the tenant's priority is compared first")
	require.Less(t, d.Rank(low, 3), d.Rank(low, 5))
	require.Equal(t, d.Rank(high, 3), d.Rank(nil, 3), "as if from the highest tenant")
	require.Equal(t, 5, (*Directory)(nil).Rank(nil, 5))
	require.Equal(t, (*Directory)(nil).Rank(nil, 7), (*Directory)(nil).Rank(nil, 60))

	var many []*Tenant
	for i := range 50 {
		many = append(many, &Tenant{Name: strings.Repeat("x", i+1), Priority: i})
	}
	d = newDirectory(t, many...)
	require.Less(t, d.Rank(many[49], 5), Ranks)
	require.Less(t, d.Rank(many[0], 5), d.Rank(many[1], 1))
}

// Guards against a key that gives access to the data of two tenants.
func TestSharedKeyIsRefused(t *testing.T) {
	shared := []Digest{DigestOf("k")}
	_, err := NewDirectory(map[*Tenant][]Digest{{Name: "a"}: shared, {Name: "b"}: shared}, nil)
	require.Error(t, err)
}

func BenchmarkIdentify(b *testing.B) {
	keys := map[*Tenant][]Digest{}
	for i := range 2500 {
		t := &Tenant{Name: fmt.Sprint(i)}
		for j := range 4 {
			keys[t] = append(keys[t], DigestOf(fmt.Sprintf("jvz48wuakn2ftimaj3nr-%d-%d", i, j)))
		}
	}
	d, err := NewDirectory(keys, nil)
	require.NoError(b, err)
	field := []string{"Bearer jvz48wuakn2ftimaj3nr-1234-2"}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := d.Identify(field); !ok {
			b.Fatal("not found")
		}
	}
}
