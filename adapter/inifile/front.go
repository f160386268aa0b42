package inifile

import (
	"math"

	"github.com/lavendervale/lavendervale/daemon"
	"github.com/lavendervale/lavendervale/overload"
	"github.com/lavendervale/lavendervale/platform"
)

const (
	// maxShards is the maximum number of shards of the log.
	maxShards = 4096
	// minRecordBytes is the least size of a record that the log has to take.
	minRecordBytes = 4 << 10
	// admissionQueue and admissionRefuse are the values of the key admission: programs that begin wait
	// while engines are full, or are refused.
	admissionQueue, admissionRefuse = "queue", "refuse"
	// maxAdmissionLoad is the greatest load up to which programs may begin; engines hold no more than
	// three requests beyond their slots.
	maxAdmissionLoad = 2
)

// readFront parses the settings of a front.
func readFront(f *file) (*Settings, error) {
	settings := &Settings{}
	config := &daemon.FrontConfig{}
	processSection := f.section("process")
	processSection.keysRead["role"] = true
	config.Name = processSection.requiredText("name", "a name that is unique among the instances")
	config.Domain = processSection.requiredText("domain", "the failure domain of the process")
	config.GracePeriod = processSection.duration("grace", daemon.DefaultGracePeriod)
	config.QuotaSpan = processSection.duration("quota_span", daemon.DefaultQuotaSpan)
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
	config.MaxRecordBytes = int(storeSection.integer("record_bytes", daemon.DefaultRecordBytes, minRecordBytes, math.MaxInt32))
	storeSection.checkKeys()
	readEndpoints(f, config)
	readOverload(f, config)
	readLog(f, settings)
	if err := f.checkSections("read settings", "[process]", "[listen]", "[store]", "[endpoints]", "[platform]", "[overload]", "[log]"); err != nil {
		return nil, err
	}
	settings.front = config
	return settings, nil
}

// readEndpoints parses what the platform says of its endpoints.
func readEndpoints(f *file, config *daemon.FrontConfig) {
	endpointSection := f.section("endpoints")
	config.DrainTime = endpointSection.duration("drain", 0)
	config.HeartbeatInterval = endpointSection.duration("heartbeat", 0)
	endpointSection.checkKeys()
}

// readOverload parses what is done while engines are full. An explicit setting goes before what the
// contracts of the platform call for.
func readOverload(f *file, config *daemon.FrontConfig) {
	platformSection := f.section("platform")
	features := platform.FeaturesOf(platformSection.list("contracts"))
	platformSection.checkKeys()
	overloadSection := f.section("overload")
	admission := admissionQueue
	if features.AdmissionControl {
		admission = admissionRefuse
	}
	config.RefuseWhenFull = overloadSection.enum("admission", admission, admissionQueue, admissionRefuse) == admissionRefuse
	config.AdmissionLoad = overloadSection.numberUpTo("load", overload.DefaultLoad, maxAdmissionLoad)
	config.FairShares = features.FairShares
	overloadSection.checkKeys()
}
