package peer

import (
	"time"

	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/membership"
)

func fromBeat(b membership.Heartbeat) *peerpb.Beat {
	m := &peerpb.Beat{ConfigVersion: b.ConfigVersion(), InstancesVersion: b.InstancesVersion()}
	for _, r := range b.Records() {
		m.Records = append(m.Records, fromConfiguration(r))
	}
	m.Instances = fromInstances(b.Instances())
	m.Committers = fromInstances(b.Committers())
	m.CommittersVersion = b.CommittersVersion()
	return m
}

func fromConfiguration(r configuration.Record) *peerpb.ConfigurationRecord {
	return &peerpb.ConfigurationRecord{
		Version: r.Version(), Offset: r.Offset(), Base: r.Base(), Author: r.Author(), Text: r.Text(),
		TimeUnixNano: r.Time().UnixNano(),
	}
}

func toConfiguration(m *peerpb.ConfigurationRecord) configuration.Record {
	return configuration.NewRecord(configuration.RecordConfig{
		Version: m.GetVersion(), Offset: m.GetOffset(), Base: m.GetBase(), Author: m.GetAuthor(), Text: m.GetText(),
		Time: time.Unix(0, m.GetTimeUnixNano()),
	})
}

func fromInstances(list []fleet.Instance) []*peerpb.Instance {
	messages := make([]*peerpb.Instance, 0, len(list))
	for _, i := range list {
		messages = append(messages, &peerpb.Instance{
			Name: i.Name(), Address: i.Address(), Domain: i.Domain(), Role: i.Role().String(),
			Service: i.Service(), Leaving: i.Leaving(),
		})
	}
	return messages
}

func toInstances(messages []*peerpb.Instance) ([]fleet.Instance, error) {
	list := make([]fleet.Instance, 0, len(messages))
	for _, i := range messages {
		role, err := fleet.ParseRole(i.GetRole())
		if err != nil {
			return nil, err
		}
		list = append(list, fleet.NewInstance(fleet.InstanceConfig{
			Name: i.GetName(), Address: i.GetAddress(), Domain: i.GetDomain(), Role: role,
			Service: i.GetService(), Leaving: i.GetLeaving(),
		}))
	}
	return list, nil
}

func toBeat(m *peerpb.Beat) (membership.Heartbeat, error) {
	c := membership.HeartbeatConfig{ConfigVersion: m.GetConfigVersion(), InstancesVersion: m.GetInstancesVersion(), CommittersVersion: m.GetCommittersVersion()}
	for _, r := range m.GetRecords() {
		c.Records = append(c.Records, toConfiguration(r))
	}
	var err error
	if c.Instances, err = toInstances(m.GetInstances()); err != nil {
		return membership.Heartbeat{}, err
	}
	if c.Committers, err = toInstances(m.GetCommitters()); err != nil {
		return membership.Heartbeat{}, err
	}
	return membership.NewHeartbeat(c), nil
}

func toAnswer(m *peerpb.BeatReply) membership.HeartbeatReply {
	c := membership.HeartbeatReplyConfig{
		ConfigVersion: m.GetConfigVersion(), InstancesVersion: m.GetInstancesVersion(), Load: toLoad(m.GetLoad()),
		CommittersVersion: m.GetCommittersVersion(),
	}
	if m.GetRecord() != nil {
		record := toConfiguration(m.GetRecord())
		c.Record = &record
	}
	return membership.NewHeartbeatReply(c)
}

func fromAnswer(a membership.HeartbeatReply) *peerpb.BeatReply {
	m := &peerpb.BeatReply{
		ConfigVersion: a.ConfigVersion(), InstancesVersion: a.InstancesVersion(), Load: fromLoad(a.Load()),
		CommittersVersion: a.CommittersVersion(),
	}
	if a.Record() != nil {
		m.Record = fromConfiguration(*a.Record())
	}
	return m
}
