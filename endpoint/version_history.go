package endpoint

import "time"

// ServiceVersion is a software version of the endpoints of a service.
type ServiceVersion struct {
	Service, Version string
}

// AwaitVersionHistory notes that a history of the versions that have served outlives this instance,
// and that ApplyVersionHistory will be called with it.
func (d *Directory) AwaitVersionHistory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.historyAwaited = true
}

// ApplyVersionHistory takes over the versions that the history holds. One of which this instance has
// seen no endpoint may have served until now.
func (d *Directory) ApplyVersionHistory(history []ServiceVersion, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.historyAwaited = false
	for _, s := range history {
		if d.versions[s.Service] == nil {
			d.versions[s.Service] = map[string]serviceVersion{}
		}
		v, ok := d.versions[s.Service][s.Version]
		if !ok {
			v.lastPresent = now
		}
		v.recorded = true
		d.versions[s.Service][s.Version] = v
	}
}

// VersionHistoryChanges returns the versions that the history lacks, and those that it holds though
// no stream which they began can be resumed any more.
func (d *Directory) VersionHistoryChanges(now time.Time) (missing, outdated []ServiceVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, versions := range d.versions {
		for version, v := range versions {
			switch s := (ServiceVersion{Service: service, Version: version}); {
			case v.current(now) && !v.recorded:
				missing = append(missing, s)
			case !v.current(now) && v.recorded:
				outdated = append(outdated, s)
			}
		}
	}
	return missing, outdated
}

// RemoveFromVersionHistory notes that the history no longer holds a version.
func (d *Directory) RemoveFromVersionHistory(s ServiceVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v, ok := d.versions[s.Service][s.Version]; ok {
		v.recorded = false
		d.versions[s.Service][s.Version] = v
	}
}
