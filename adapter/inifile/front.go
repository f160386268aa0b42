package inifile

import (
	"math"

	"github.com/lavendervale/lavendervale/daemon"
)

const (
	// frontRole is the value of role in the settings of a front, a role that fleet.Role
	// does not include.
	frontRole = "front"
	// maxShards is the maximum number of shards of the log.
	maxShards = 4096
)

// isFront reports whether the file holds the settings of a front.
func isFront(f *file) bool {
	s, err := f.ini.GetSection("process")
	return err == nil && s.HasKey("role") && s.Key("role").Value() == frontRole
}

// readFront parses the settings of a front into settings.
func readFront(f *file, settings *Settings) (*Settings, error) {
	config := &daemon.FrontConfig{}
	processSection := f.section("process")
	processSection.keysRead["role"] = true
	config.Name = processSection.requiredText("name", "a name that is unique among the instances")
	config.Domain = processSection.requiredText("domain", "the failure domain of the process")
	config.GracePeriod = processSection.duration("grace", daemon.DefaultGracePeriod)
	config.MemoryMB = processSection.integer("memory", 0, 32, math.MaxInt32)
	config.Processors = processSection.positiveNumber("processors", 1)
	processSection.checkKeys()
	listenSection := f.section("listen")
	config.CallerAddress = listenSection.address("callers", true)
	config.ReadyAddress = listenSection.address("ready", true)
	config.PeerAddress = listenSection.address("peers", true)
	config.MetricsAddress = listenSection.address("metrics", false)
	listenSection.checkKeys()
	storeSection := f.section("store")
	config.StoreAddress = storeSection.address("address", true)
	config.Shards = int(storeSection.integer("shards", daemon.DefaultShards, 1, maxShards))
	config.StoreWriteRate = storeSection.positiveNumber("writes", 0)
	storeSection.checkKeys()
	readLog(f, settings)
	if err := f.checkSections("read settings", "[process]", "[listen]", "[store]", "[log]"); err != nil {
		return nil, err
	}
	settings.front = config
	return settings, nil
}
