package peer

import (
	"time"

	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/membership"
)

func beatToProto(b membership.Heartbeat) *peerpb.Beat {
	m := &peerpb.Beat{ConfigVersion: b.ConfigVersion(), InstancesVersion: b.InstancesVersion()}
	for _, r := range b.Records() {
		m.Records = append(m.Records, configurationToProto(r))
	}
	m.Instances = instancesToProto(b.Instances())
	m.Committers = instancesToProto(b.Committers())
	m.CommittersVersion = b.CommittersVersion()
	return m
}

func configurationToProto(r configuration.Record) *peerpb.ConfigurationRecord {
	return &peerpb.ConfigurationRecord{
		Version: r.Version(), Offset: r.Offset(), Base: r.Base(), Author: r.Author(), Text: r.Text(),
		TimeUnixNano: r.Time().UnixNano(),
	}
}

func configurationFromProto(m *peerpb.ConfigurationRecord) configuration.Record {
	return configuration.NewRecord(configuration.RecordConfig{
		Version: m.GetVersion(), Offset: m.GetOffset(), Base: m.GetBase(), Author: m.GetAuthor(), Text: m.GetText(),
		Time: time.Unix(0, m.GetTimeUnixNano()),
	})
}

func instancesToProto(instances []fleet.Instance) []*peerpb.Instance {
	messages := make([]*peerpb.Instance, 0, len(instances))
	for _, instance := range instances {
		messages = append(messages, &peerpb.Instance{
			Name: instance.Name(), Address: instance.Address(), Domain: instance.Domain(), Role: instance.Role().String(),
			Service: instance.Service(), Leaving: instance.Leaving(),
		})
	}
	return messages
}

func instancesFromProto(messages []*peerpb.Instance) ([]fleet.Instance, error) {
	instances := make([]fleet.Instance, 0, len(messages))
	for _, instance := range messages {
		role, err := fleet.ParseRole(instance.GetRole())
		if err != nil {
			return nil, err
		}
		instances = append(instances, fleet.NewInstance(fleet.InstanceConfig{
			Name: instance.GetName(), Address: instance.GetAddress(), Domain: instance.GetDomain(), Role: role,
			Service: instance.GetService(), Leaving: instance.GetLeaving(),
		}))
	}
	return instances, nil
}

func beatFromProto(m *peerpb.Beat) (membership.Heartbeat, error) {
	c := membership.HeartbeatConfig{ConfigVersion: m.GetConfigVersion(), InstancesVersion: m.GetInstancesVersion(), CommittersVersion: m.GetCommittersVersion()}
	for _, r := range m.GetRecords() {
		c.Records = append(c.Records, configurationFromProto(r))
	}
	var err error
	if c.Instances, err = instancesFromProto(m.GetInstances()); err != nil {
		return membership.Heartbeat{}, err
	}
	if c.Committers, err = instancesFromProto(m.GetCommitters()); err != nil {
		return membership.Heartbeat{}, err
	}
	return membership.NewHeartbeat(c), nil
}

func beatReplyFromProto(m *peerpb.BeatReply) membership.HeartbeatReply {
	c := membership.HeartbeatReplyConfig{
		ConfigVersion: m.GetConfigVersion(), InstancesVersion: m.GetInstancesVersion(), Load: loadFromProto(m.GetLoad()),
		CommittersVersion: m.GetCommittersVersion(),
	}
	if m.GetRecord() != nil {
		record := configurationFromProto(m.GetRecord())
		c.Record = &record
	}
	return membership.NewHeartbeatReply(c)
}

func beatReplyToProto(reply membership.HeartbeatReply) *peerpb.BeatReply {
	m := &peerpb.BeatReply{
		ConfigVersion: reply.ConfigVersion(), InstancesVersion: reply.InstancesVersion(), Load: loadToProto(reply.Load()),
		CommittersVersion: reply.CommittersVersion(),
	}
	if reply.Record() != nil {
		m.Record = configurationToProto(*reply.Record())
	}
	return m
}
