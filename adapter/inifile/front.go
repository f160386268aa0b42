package inifile

import (
	"math"

	"github.com/lavendervale/lavendervale/daemon"
)

const (
	// frontRole is the role of a process that serves the callers of a platform.
	frontRole = "front"
	// maxShards bounds the shards of the log.
	maxShards = 4096
)

func isFront(f *file) bool {
	s, err := f.ini.GetSection("process")
	return err == nil && s.HasKey("role") && s.Key("role").Value() == frontRole
}

// readFront reads the settings of a front.
func readFront(f *file, s *Settings) (*Settings, error) {
	c := &daemon.FrontConfig{}
	p := f.section("process")
	p.read["role"] = true
	c.Name = p.required("name", "a name unique among the instances")
	c.Domain = p.required("domain", "the failure domain")
	c.GracePeriod = p.duration("grace", daemon.DefaultGracePeriod)
	c.MemoryMB = p.integer("memory", 0, 32, math.MaxInt32)
	c.Processors = p.number("processors", 1)
	p.done()
	l := f.section("listen")
	c.CallerAddress = l.address("callers", true)
	c.ReadyAddress = l.address("ready", true)
	c.PeerAddress = l.address("peers", true)
	c.MetricsAddress = l.address("metrics", false)
	l.done()
	st := f.section("store")
	c.StoreAddress = st.address("address", true)
	c.Shards = int(st.integer("shards", daemon.DefaultShards, 1, maxShards))
	c.StoreWriteRate = st.number("writes", 0)
	st.done()
	readLog(f, s)
	if err := f.finish("read settings", "[process]", "[listen]", "[store]", "[log]"); err != nil {
		return nil, err
	}
	s.front = c
	return s, nil
}
