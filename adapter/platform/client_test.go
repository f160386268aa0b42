package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	adapter "github.com/lavendervale/lavendervale/adapter/platform"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/fleet/fleettest"
	standin "github.com/lavendervale/lavendervale/standin/platform"
)

// serve serves a fake log and instance list over HTTP and returns a client of it.
func serve(t *testing.T, l *standin.Log, i *standin.InstanceList) *adapter.Client {
	t.Helper()
	server := httptest.NewServer(standin.NewServer(l, i).Handler())
	t.Cleanup(server.Close)
	c := adapter.New(adapter.Config{Address: server.Listener.Addr().String()})
	t.Cleanup(c.Close)
	return c
}

func subject(l *standin.Log, underTest fleettest.Log) fleettest.LogSubject {
	return fleettest.LogSubject{
		Log: underTest, Expire: l.Expire,
		SetDown:        func(down bool) { l.SetFaults(standin.LogFaults{Down: down}) },
		SetLoseReplies: func(lossy bool) { l.SetFaults(standin.LogFaults{LoseAppendResponses: lossy}) },
	}
}

func TestClientMeetsLogContract(t *testing.T) {
	fleettest.TestLog(t, func(t *testing.T) fleettest.LogSubject {
		l := standin.NewLog()
		return subject(l, serve(t, l, standin.NewInstanceList(0)))
	})
}

func TestStandinMeetsLogContract(t *testing.T) {
	fleettest.TestLog(t, func(*testing.T) fleettest.LogSubject {
		l := standin.NewLog()
		return subject(l, l)
	})
}

func listSubject(l *standin.InstanceList, underTest fleettest.Lister) fleettest.ListSubject {
	return fleettest.ListSubject{Lister: underTest, Add: l.Add, Remove: l.Remove, SetDown: l.SetDown, SetEmpty: l.SetEmpty}
}

func TestClientMeetsListContract(t *testing.T) {
	fleettest.TestLister(t, func(t *testing.T) fleettest.ListSubject {
		l := standin.NewInstanceList(0)
		return listSubject(l, serve(t, standin.NewLog(), l))
	})
}

func TestStandinMeetsListContract(t *testing.T) {
	fleettest.TestLister(t, func(*testing.T) fleettest.ListSubject {
		l := standin.NewInstanceList(0)
		return listSubject(l, l)
	})
}

func TestInstanceListDelay(t *testing.T) {
	list := standin.NewInstanceList(time.Hour)
	list.Add(fleet.NewInstance(fleet.InstanceConfig{Name: "model-1"}))
	got, err := list.Instances(context.Background())
	require.NoError(t, err)
	require.Empty(t, got, "the list must not show a change before the delay has passed")
}

func TestClientDistinguishesUnreachableFromUnknown(t *testing.T) {
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().String()
	server.Close()
	c := adapter.New(adapter.Config{Address: address})
	_, err := c.Append(context.Background(), "a", []byte("x"))
	require.Error(t, err)
	require.Equal(t, fleet.KindUnavailable, fleet.KindOf(err))
}
