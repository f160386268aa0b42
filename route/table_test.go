package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/route"
)

func table(t *testing.T, version int64, routes ...route.Config) *route.Table {
	t.Helper()
	c := route.TableConfig{Version: version}
	for _, r := range routes {
		if r.Splits == nil {
			r.Splits = []route.Split{{Service: "s", Weight: 1}}
		}
		c.Routes = append(c.Routes, route.New(r))
	}
	out, err := route.NewTable(c)
	require.NoError(t, err)
	return out
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	tab := table(t, 1, route.Config{Name: "all", Host: "a", PathPrefix: "/"}, route.Config{Name: "long", Host: "a", PathPrefix: "/x/y/"}, route.Config{Name: "short", Host: "a", PathPrefix: "/x/"})
	tests := []struct {
		host, path, want string
	}{
		{host: "a", path: "/x/y/z", want: "long"},
		{host: "a", path: "/x/yz", want: "short"},
		{host: "a", path: "/x", want: "all"},
		{host: "b", path: "/x/"},
	}
	for _, test := range tests {
		r := tab.Match(test.host, test.path)
		if test.want == "" {
			require.Nil(t, r)
			continue
		}
		require.Equal(t, test.want, r.Name(), test.path)
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	var s route.Store
	require.Nil(t, s.Table())
	for _, step := range []struct {
		version, want int64
		changed       bool
	}{{5, 5, true}, {5, 5, false}, {3, 5, false}, {9, 9, true}} {
		changed, err := s.Update(table(t, step.version))
		require.Equal(t, step.changed, changed)
		require.Equal(t, step.version < step.want, err != nil)
		require.Equal(t, step.want, s.Table().Version())
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := route.New(route.Config{Splits: []route.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}})
	require.Equal(t, "a", r.PickService(0))
	require.Equal(t, "a", r.PickService(0.89))
	require.Equal(t, "b", r.PickService(0.91))
}

func TestInvalidTablesAreRefused(t *testing.T) {
	for _, c := range []route.Config{{Name: "no slash", PathPrefix: "x/", Splits: []route.Split{{Service: "s"}}}, {Name: "no service", PathPrefix: "/x/"}} {
		_, err := route.NewTable(route.TableConfig{Routes: []*route.Route{route.New(c)}})
		require.Error(t, err, c.Name)
	}
}
